/** Results, refusals and errors that carry the step and peer at which they arose. */
export { Err, Ok, orThrow, type Result } from './result.js'
export {
  REFUSAL_REASONS, RETRY_REASONS, STEPS, type ExecutionState, type RefusalReason, type RetryReason, type Step
} from './reasons.js'
export { Refusal, type RefusalBody, type RefusalDetail } from './refusal.js'
export { StepError } from './step-error.js'
