/** `godwitpoint settings`: checks settings files. */
import * as fs from 'node:fs/promises'
import * as commander from 'commander'
import { Err, type Result } from '../errors/index.js'
import { parseSettings, type EntrySettings } from '../settings/index.js'
import { EXIT, type Io } from './common.js'

/** Creates the command group. */
export function settingsCommand (io: Io): commander.Command {
  return new commander.Command('settings')
    .description('check settings files')
    .addCommand(new commander.Command('check')
      .description('check an INI file')
      .argument('<file>', 'INI file with the settings of one process')
      .action(async (file: string) => {
        const loaded = await loadSettings(file)
        if (loaded.err) io.fail(EXIT.usage, loaded.val)
        else io.print('ok')
      }))
}

/** Reads and checks a settings file; the error names file, line, section and key. */
export async function loadSettings (file: string): Promise<Result<EntrySettings, string>> {
  let text: string
  try {
    text = await fs.readFile(file, 'utf8')
  } catch (err) {
    return Err(`${file}: ${err instanceof Error ? err.message : String(err)}`)
  }
  return parseSettings(text).mapErr((problems) => problems
    .map((problem) => `${file}:${problem.line}: [${problem.section}] ${problem.key}: ${problem.expected}`).join('\n'))
}
