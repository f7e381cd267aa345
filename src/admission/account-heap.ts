/** Binary min-heap of the accounts with waiting requests, ordered by scheduling key. */
import { isServedBefore, type AccountState } from './account-state.js'

/** Each account stores its heap index, so a changed key is repositioned in O(log n). */
export class AccountHeap {
  readonly items: AccountState[] = []

  /** The account that is served next. */
  get first (): AccountState | undefined {
    return this.items[0]
  }

  /** Adds an account, or restores the order after its key changed. */
  update (account: AccountState): void {
    if (account.heapIndex < 0) {
      account.heapIndex = this.items.length
      this.items.push(account)
    }
    this.siftUp(account)
    this.siftDown(account)
  }

  /** Removes an account; does nothing when it is not in the heap. */
  remove (account: AccountState): void {
    const index = account.heapIndex
    if (index < 0) return
    const last = this.items.pop()
    account.heapIndex = -1
    if (last === undefined || last === account) return
    this.place(last, index)
    this.siftUp(last)
    this.siftDown(last)
  }

  private siftUp (account: AccountState): void {
    let index = account.heapIndex
    while (index > 0) {
      const parent = this.items[(index - 1) >> 1]!
      if (!isServedBefore(account, parent)) break
      this.place(parent, index)
      index = (index - 1) >> 1
    }
    this.place(account, index)
  }

  private siftDown (account: AccountState): void {
    let index = account.heapIndex
    for (;;) {
      const left = this.items[2 * index + 1]
      if (left === undefined) break
      const right = this.items[2 * index + 2]
      const child = right !== undefined && isServedBefore(right, left) ? right : left
      if (!isServedBefore(child, account)) break
      const childIndex = child.heapIndex
      this.place(child, index)
      index = childIndex
    }
    this.place(account, index)
  }

  private place (account: AccountState, index: number): void {
    this.items[index] = account
    account.heapIndex = index
  }
}
