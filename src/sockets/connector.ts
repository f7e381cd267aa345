/** Connections for undici whose reset is an error. */
import * as undici from 'undici'
import * as resetDetector from './reset-detector.js'

/** Opens connections for undici that fail when the peer resets them; `timeoutMs` is the time allowed for opening one. */
export function createConnector (timeoutMs: number): undici.buildConnector.connector {
  // A reset is detected by a write, which must be possible after the peer has ended its side.
  const options = { timeout: timeoutMs, allowHalfOpen: true }
  const connect = undici.buildConnector(options)
  return (opts, callback) => connect(opts, (...args) => {
    const [err, socket] = args
    if (err === null) resetDetector.detectResets(socket)
    callback(...args)
  })
}
