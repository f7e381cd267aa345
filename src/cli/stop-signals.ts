/** Stops a daemon on SIGTERM or SIGINT: the first signal drains it, the second ends the process immediately. */
import type { Logger } from '../log/index.js'

/** Exit code after a stop that aborted running requests. */
const EXIT_ABORTED = 1

/** A daemon that can be stopped gracefully. */
export interface Stoppable extends AsyncDisposable {
  /** Resolves once the running requests are done. */
  drain (): Promise<void>
  /** Number of requests being served. */
  readonly active: number
}

/** Waits for a signal and stops `daemon`; resolves once it has stopped. */
export async function stopOnSignal (daemon: Stoppable, log: Logger): Promise<void> {
  await nextSignal()
  nextSignal().then(() => {
    log.error({ lost_requests: daemon.active }, 'stopped_at_once')
    process.exit(EXIT_ABORTED)
  }, () => {})
  await daemon.drain()
  await daemon[Symbol.asyncDispose]()
  log.info({}, 'stopped')
}

async function nextSignal (): Promise<void> {
  await new Promise<void>((resolve) => {
    const stop = (): void => {
      process.off('SIGTERM', stop)
      process.off('SIGINT', stop)
      resolve()
    }
    process.on('SIGTERM', stop)
    process.on('SIGINT', stop)
  })
}
