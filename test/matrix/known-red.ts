/** Cells that are listed in KNOWN-RED.txt, one per line: `cell seed=<seed> <name>: <invariant>`. */
import * as fs from 'node:fs'
import type { Violation } from './checks.js'
import { nameOf, type Cell } from './table.js'

/** An entry of the list. */
export interface KnownRed {
  readonly seed: number
  readonly cells: readonly Cell[]
  readonly invariant: string
}

/** The entries of the list. */
export const KNOWN_RED: readonly KnownRed[] = fs.readFileSync('KNOWN-RED.txt', 'utf8').split('\n').flatMap((line) => {
  const match = /^cell seed=(\d+) (.+): (\w+)$/.exec(line)
  return match === null ? [] : [{ seed: Number(match[1]), cells: match[2]!.split(' + ').map(parseCell), invariant: match[3]! }]
})

/** Whether a violation is listed for these cells together, or for one of them. */
export function isKnownRed (cells: readonly Cell[], { invariant }: Violation): boolean {
  const names = [nameOf(cells), ...cells.map((cell) => nameOf([cell]))]
  return KNOWN_RED.some((entry) => entry.invariant === invariant && names.includes(nameOf(entry.cells)))
}

function parseCell (name: string): Cell {
  const [protocol, step, fault] = name.split(' ')
  return { protocol, step, fault } as Cell
}
