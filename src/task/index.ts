/** Tasks own their sockets and state and exchange messages; a supervisor restarts those that fail. */
export { Mailbox, MAILBOX_LIMIT } from './mailbox.js'
export { Supervisor, type ChildSpec, type RunningChild, type SupervisorDeps } from './supervisor.js'
export { DisposableStack } from './disposable-stack.js'
