/** The command line interface with all its commands. */
import * as commander from 'commander'
import { EXIT, type Io } from './common.js'
import { configCommand } from './config-command.js'
import { demoCommand } from './demo-command.js'
import { entryCommand } from './entry-command.js'
import { keyCommand } from './key-command.js'
import { drainCommand, reportCommand } from './report-command.js'
import { settingsCommand } from './settings-command.js'
import { standinCommand } from './standin-command.js'

/** Creates the program; an invalid command line sets {@link EXIT.usage}. */
export function buildProgram (io: Io): commander.Command {
  const program = new commander.Command('godwitpoint')
    .description('serves language models and plain services from a small fleet')
    .addHelpText('after', '\nExit codes: 0 good, 1 failed, 2 usage or invalid input, 3 conflict, 4 an outcome does not hold')
    .addCommand(entryCommand(io))
    .addCommand(demoCommand(io))
    .addCommand(standinCommand(io))
    .addCommand(settingsCommand(io))
    .addCommand(configCommand(io))
    .addCommand(keyCommand(io))
    .addCommand(drainCommand(io))
    .addCommand(reportCommand(io))
  redirectOutput(program, io)
  return program
}

/** Runs the program; invalid arguments set the exit code and throw nothing. */
export async function runProgram (io: Io, args: readonly string[]): Promise<void> {
  try {
    await buildProgram(io).parseAsync([...args], { from: 'user' })
  } catch (err) {
    if (!(err instanceof commander.CommanderError)) throw err
    io.exit(err.exitCode === 0 ? EXIT.success : EXIT.usage)
  }
}

function redirectOutput (command: commander.Command, io: Io): void {
  command.exitOverride()
  command.configureOutput({
    writeOut: (text) => io.print(text.trimEnd()),
    writeErr: (text) => io.fail(EXIT.usage, text.trimEnd())
  })
  for (const child of command.commands) redirectOutput(child, io)
}
