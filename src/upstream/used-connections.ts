/** Connections that carried the attempts of one call. */

/**
 * A faulty target may repeat its response to an attempt later on the same connection. The response bears the id of the call,
 * so that it could not be told from the response to a further attempt there.
 */
export class UsedConnections {
  private readonly connections = new WeakSet<object>()

  add (connection: object): void {
    this.connections.add(connection)
  }

  has (connection: object): boolean {
    return this.connections.has(connection)
  }
}
