/** Deterministic output of the stand-in engine: each word depends on the prompt, the seed and the words before it. */

/** Vocabulary of the stand-in model. */
const WORDS = ['pass', 'fail', 'hold', 'rail', 'rung', 'lock', 'tag', 'scan', 'crew', 'shelf', 'loan', 'due', 'book', 'desk', 'note', 'renew'] as const

/** Parameters of the 32-bit FNV-1a hash. */
const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** State of an output in progress: a hash that each word extends. */
export class ModelText {
  private constructor (private readonly hash: number) {}

  /** The state after a prompt; with output words appended, the state after those words, so a stream can be resumed. */
  static start (prompt: string, seed: number): ModelText {
    return new ModelText(extend(FNV_OFFSET ^ seed, prompt))
  }

  /** The next word, with a leading space. */
  get word (): string {
    return ` ${WORDS[(this.hash >>> 8) % WORDS.length]}`
  }

  /** The state after the next word. */
  advance (): ModelText {
    return new ModelText(extend(this.hash, this.word))
  }
}

/** The first `count` words of the output for a prompt. */
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
