/** Runs one case: keeps its record, and ends everything that it started. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'

/** Exit codes of a case. */
const HELD = 0
const BROKEN = 1
const COULD_NOT_RUN = 2

/** Time after which a case is ended, in ms. */
const MAX_CASE_MS = 115_000

/** What a case needs: whether there is trouble, its record, a temporary folder, and where to register what must be stopped. */
export class Case {
  /** False when the case is run without its disruption. */
  trouble = process.env.TROUBLE !== '0'
  dir = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
  #recordPath
  #lines = []
  #stops = []

  constructor (folder) {
    this.#recordPath = path.join(folder, 'record.txt')
  }

  /** Adds a line to the record. */
  note (line) {
    this.#lines.push(`${new Date().toISOString()} ${line}`)
  }

  /** Registers what must be stopped at the end; returns it. */
  stopLater (thing) {
    this.#stops.push(thing)
    return thing
  }

  async end (code) {
    for (const thing of this.#stops.reverse()) await thing.stop()
    fs.rmSync(this.dir, { recursive: true, force: true })
    fs.writeFileSync(this.#recordPath, `${this.#lines.join('\n')}\n`)
    process.exit(code)
  }
}

/** Runs `play`, which resolves to whether the rule was broken, and exits with the code of the outcome. */
export async function runCase (folder, play) {
  const current = new Case(folder)
  current.note(current.trouble ? 'with the disruption' : 'without the disruption')
  const timer = setTimeout(() => {
    current.note('could not run: the case took too long')
    current.end(COULD_NOT_RUN).catch(() => process.exit(COULD_NOT_RUN))
  }, MAX_CASE_MS)
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { current.end(COULD_NOT_RUN).catch(() => process.exit(COULD_NOT_RUN)) })
  let code = COULD_NOT_RUN
  try {
    const isBroken = await play(current)
    code = isBroken ? BROKEN : HELD
    current.note(isBroken ? 'the rule was broken' : 'the rule held')
  } catch (err) {
    current.note(`could not run: ${err.stack}`)
  }
  clearTimeout(timer)
  await current.end(code)
}
