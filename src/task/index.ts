/** Tasks own their sockets and state and talk by messages; a supervisor restarts those that fail. */
export { Mailbox, MAILBOX_LIMIT } from './mailbox.js'
export { Supervisor, type ChildSpec, type RunningChild, type SupervisorEnv } from './supervisor.js'
export { DisposableStack } from './disposable-stack.js'
