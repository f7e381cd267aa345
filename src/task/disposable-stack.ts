/** Disposal of several resources; replaces `AsyncDisposableStack`, which Node 20 lacks. */

/** Disposes its resources in reverse order. */
export class DisposableStack implements AsyncDisposable {
  private readonly resources: AsyncDisposable[] = []

  /** Adds a resource and returns it. */
  use<T extends AsyncDisposable> (item: T): T {
    this.resources.push(item)
    return item
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const item of this.resources.splice(0).reverse()) await item[Symbol.asyncDispose]()
  }
}
