/** `godwitpoint entry`: runs one entry process. */
import * as commander from 'commander'
import { EntryDaemon } from '../daemon/index.js'
import { createLogger } from '../log/index.js'
import { systemEnv } from '../time/index.js'
import { EXIT, type Io } from './common.js'
import { loadSettings } from './settings-command.js'
import { stopOnSignal } from './stop-signals.js'

/** Creates the command. */
export function entryCommand (io: Io): commander.Command {
  return new commander.Command('entry')
    .description('run one entry process; SIGTERM stops it gracefully, a second signal at once')
    .requiredOption('--settings <file>', 'INI file with the settings of this process')
    .action(async (options: { settings: string }) => await runEntry(io, options.settings))
}

async function runEntry (io: Io, file: string): Promise<void> {
  const settings = await loadSettings(file)
  if (settings.err) {
    io.fail(EXIT.usage, settings.val)
    return
  }
  // The entry keeps serving when the process that reads its log ends.
  process.stdout.on('error', () => {})
  const log = createLogger('entry', settings.val.log.level, process.stdout)
  const daemon = new EntryDaemon(settings.val, systemEnv(), log)
  await daemon.start()
  await stopOnSignal(daemon, log)
}
