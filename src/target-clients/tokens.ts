/** Token counts and prefix hash chains; engines and entries must compute them in the same way. */
import { hash64Hex } from '../hash/index.js'

/** Characters counted as one token; engines report exact counts at the end of a response. */
export const CHARS_PER_TOKEN = 4

/** Tokens in one block of an engine's KV cache. */
export const CACHE_BLOCK_TOKENS = 2_000

const CACHE_BLOCK_CHARS = CACHE_BLOCK_TOKENS * CHARS_PER_TOKEN

/** Estimated number of tokens of a text. */
export function countTokens (text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN)
}

/** Chain of hashes of the complete blocks of a prompt; each hash covers its block and all blocks before it. */
export function prefixChain (model: string, prompt: string): string[] {
  const chain: string[] = []
  let previous = model
  for (let end = CACHE_BLOCK_CHARS; end <= prompt.length; end += CACHE_BLOCK_CHARS) {
    previous = hash64Hex(`${previous}\u0000${prompt.slice(end - CACHE_BLOCK_CHARS, end)}`)
    chain.push(previous)
  }
  return chain
}
