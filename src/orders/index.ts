/** Orders to engines: stored as intents, sent, confirmed and closed. */
export { SendError, type IntentSender, type DelayedCopyEffect, type Retirement } from './types.js'
export { EngineSender, type EngineRef, type EngineSenderDeps } from './engine-sender.js'
export { requestSlot, freeSlot, hasSlot, MAX_CONCURRENT_LOADS, LoadSlots, type LoadPage, type LoadSlotsDeps } from './load-slots.js'
export { OrderRunner, DELAYED_COPY_MS, type RoundOutcome, type OrderRunnerDeps } from './order-runner.js'
