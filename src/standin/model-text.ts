/** Deterministic text of the stand-in engine: each word depends on the prompt, the seed and the words before it. */

/** Words the stand-in model speaks. */
const WORDS = ['pass', 'fail', 'hold', 'rail', 'rung', 'lock', 'tag', 'scan', 'crew', 'shelf', 'loan', 'due', 'book', 'desk', 'note', 'renew'] as const

/** FNV-1a parameters, 32 bits. */
const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** State of a text in progress: a hash that is extended with each word. */
export class ModelText {
  private constructor (private readonly hash: number) {}

  /** The state after a prompt; a prompt with words appended gives the state after these words. */
  static start (prompt: string, seed: number): ModelText {
    return new ModelText(extend(FNV_OFFSET ^ seed, prompt))
  }

  /** The next word, with a leading blank. */
  get word (): string {
    return ` ${WORDS[(this.hash >>> 8) % WORDS.length]}`
  }

  /** The state after the next word. */
  advance (): ModelText {
    return new ModelText(extend(this.hash, this.word))
  }
}

/** The first `count` words of the answer to a prompt. */
export function expectedWords (prompt: string, seed: number, count: number): string[] {
  const words: string[] = []
  let text = ModelText.start(prompt, seed)
  for (let index = 0; index < count; index++) {
    words.push(text.word)
    text = text.advance()
  }
  return words
}

function extend (hash: number, text: string): number {
  let result = hash
  for (let index = 0; index < text.length; index++) {
    result = Math.imul(result ^ text.charCodeAt(index), FNV_PRIME)
  }
  return result >>> 0
}
