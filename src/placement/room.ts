/** Room in the KV cache of engines for the calls in flight and a further one. */
import type * as calls from '../call/index.js'
import type * as fleet from '../fleet/index.js'

/**
 * Engines on which the KV cache of a call fits beside that of the calls in flight. All engines when no mixed engine has room:
 * engines queue what does not fit.
 */
export function withRoom (call: calls.Call, states: readonly fleet.TargetState[]): readonly fleet.TargetState[] {
  const { prompt, service: { engine } } = call
  if (prompt === undefined || engine === undefined) return states
  const fitting = states.filter((state) => fits(state, prompt, engine.kvCapacityTokens))
  return fitting.some((state) => state.record.stage !== 'prefill') ? fitting : states
}

function fits (state: fleet.TargetState, prompt: calls.Prompt, capacityTokens: number): boolean {
  const held = state.heldTokens()
  if (held + prompt.promptTokens + prompt.outputTokens <= capacityTokens) return true
  return held + state.held.missing(prompt) <= capacityTokens
}
