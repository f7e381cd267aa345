/** What the connections from one address, or the large bodies of one client account, hold together. */
import * as bytes from '../bytes/index.js'

/** Share of all buffers that one address may hold, and one account. */
const ADDRESS_SHARE = 0.75
const ACCOUNT_SHARE = 0.5

/** Share of all buffers by which a share may be exceeded while others of the same client are dropped. */
const EXCESS_SHARE = 0.1

/** Accounts whose shares are kept; those that hold nothing are removed beyond it. */
const MAX_KEPT_ACCOUNTS = 1_024

/** What one client holds. */
export class ClientShare {
  readonly memory: bytes.ByteBudget
  /** Number of open connections. */
  connections = 0
  /** Whether connections are about to be dropped because together they hold too much. */
  reclaiming = false

  /** Beyond `dropBytes` connections are dropped; `parent` counts the same bytes. */
  constructor (readonly kind: 'address' | 'account', readonly name: string, readonly dropBytes: number, options: bytes.ByteBudgetOptions & { readonly excessBytes: number }) {
    this.memory = new bytes.ByteBudget(dropBytes + options.excessBytes, options)
  }

  /** Bytes beyond the share; 0 when it is kept. */
  get excessBytes (): number {
    return Math.max(0, this.memory.heldBytes - this.dropBytes)
  }
}

/** The shares of addresses and client accounts. */
export class ClientShares {
  private readonly addresses = new Map<string, ClientShare>()
  private readonly accounts = new Map<string, ClientShare>()

  constructor (private readonly buffers: bytes.ByteBudget) {}

  /** Notes a connection from an address. */
  connect (address: string): ClientShare {
    const share = this.addresses.get(address) ?? this.createAddress(address)
    share.connections++
    return share
  }

  /** Notes that a connection has closed. */
  disconnect (share: ClientShare): void {
    share.connections--
    if (share.connections === 0) this.addresses.delete(share.name)
  }

  /** The share of an address; undefined when it has no connection. */
  ofAddress (address: string): ClientShare | undefined {
    return this.addresses.get(address)
  }

  /** The share of an account. Its bytes count in the shares of addresses already. */
  ofAccount (account: string): ClientShare {
    let share = this.accounts.get(account)
    if (share !== undefined) return share
    if (this.accounts.size >= MAX_KEPT_ACCOUNTS) this.removeUnusedAccounts()
    share = new ClientShare('account', account, this.buffers.maxBytes * ACCOUNT_SHARE, { excessBytes: this.buffers.maxBytes * EXCESS_SHARE })
    this.accounts.set(account, share)
    return share
  }

  // Small holders may go on: the other callers at the same address need little.
  private createAddress (address: string): ClientShare {
    const { maxBytes } = this.buffers
    const share = new ClientShare('address', address, maxBytes * ADDRESS_SHARE, { parent: this.buffers, reserveBytes: Infinity, excessBytes: maxBytes * EXCESS_SHARE })
    this.addresses.set(address, share)
    return share
  }

  private removeUnusedAccounts (): void {
    for (const [account, share] of this.accounts) if (share.memory.heldBytes === 0) this.accounts.delete(account)
  }
}
