/** Sums, maxima and differences of usage rows, and their compact text form. */
import { hash32 } from '../hash/index.js'
import { UsageRow } from '../schema/index.js'

/** Usage rows by account and service. */
export class UsageTable {
  private readonly byKey = new Map<string, UsageRow>()

  constructor (rows: Iterable<UsageRow> = []) {
    for (const row of rows) this.byKey.set(keyOf(row), row)
  }

  get (row: UsageRow): UsageRow | undefined {
    return this.byKey.get(keyOf(row))
  }

  /** Adds the figures of `rows`. */
  add (rows: Iterable<UsageRow>): this {
    return this.combine(rows, (a, b) => a + b)
  }

  /** Keeps the larger of each figure, so that cumulative figures can be merged in any order and repeatedly. */
  mergeMax (rows: Iterable<UsageRow>): this {
    return this.combine(rows, Math.max)
  }

  /** Subtracts `base`; rows without a difference are left out. */
  minus (base: UsageTable): UsageRow[] {
    return this.rows()
      .map((row) => combineRows(row, base.get(row) ?? { ...row, requests: 0, prompt_tokens: 0, output_tokens: 0 }, (a, b) => a - b))
      .filter((row) => row.requests !== 0 || row.prompt_tokens !== 0 || row.output_tokens !== 0)
  }

  /** All rows, sorted by account and service, so that equal tables have equal texts. */
  rows (): UsageRow[] {
    return [...this.byKey.values()].sort((a, b) => compare(a.account, b.account) || compare(a.service, b.service))
  }

  private combine (rows: Iterable<UsageRow>, op: (a: number, b: number) => number): this {
    for (const row of rows) {
      const key = keyOf(row)
      const existing = this.byKey.get(key)
      this.byKey.set(key, existing === undefined ? row : combineRows(existing, row, op))
    }
    return this
  }
}

/** Shard of an account's usage. */
export function shardOf (account: string, shards: number): number {
  return hash32(account) % shards
}

/**
 * Encodes a row as text; names hold no spaces. Stored objects are limited to 1 MB, and this takes less than half of
 * the JSON form.
 */
export function encodeRow (row: UsageRow): string {
  return `${row.account} ${row.service} ${row.requests} ${row.prompt_tokens} ${row.output_tokens}`
}

/** Decodes a row; throws on invalid input. */
export function decodeRow (text: string): UsageRow {
  const [account, service, requests, promptTokens, outputTokens] = text.split(' ')
  return UsageRow.parse({
    account, service, requests: Number(requests), prompt_tokens: Number(promptTokens), output_tokens: Number(outputTokens)
  })
}

function keyOf (row: UsageRow): string {
  return `${row.account}/${row.service}`
}

function combineRows (a: UsageRow, b: UsageRow, op: (a: number, b: number) => number): UsageRow {
  return {
    account: a.account,
    service: a.service,
    requests: op(a.requests, b.requests),
    prompt_tokens: op(a.prompt_tokens, b.prompt_tokens),
    output_tokens: op(a.output_tokens, b.output_tokens)
  }
}

function compare (a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0
}
