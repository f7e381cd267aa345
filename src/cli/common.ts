/** Exit codes, options and output shared by the commands. */
import * as commander from 'commander'
import { OperatorClient } from '../operator/index.js'
import { HttpPlatform } from '../external/index.js'

/** Exit codes of all commands. */
export const EXIT = {
  /** The command succeeded. */
  success: 0,
  /** The command failed; the reason is on stderr. */
  failed: 1,
  /** The command line, settings or configuration are invalid. */
  usage: 2,
  /** Another operator changed the configuration first. */
  conflict: 3,
  /** The report shows that an outcome does not hold. */
  outcomeNotMet: 4
} as const

/** Environment variable with the operator token; as an option it would be visible to other users of the machine. */
export const TOKEN_VARIABLE = 'GODWITPOINT_OPERATOR_TOKEN'

/** Option with the platform's URL. */
export function platformOption (): commander.Option {
  return new commander.Option('--platform <url>', 'URL of the platform').env('GODWITPOINT_PLATFORM').makeOptionMandatory()
}

/** Option with the operator addresses of entries. */
export function entriesOption (): commander.Option {
  return new commander.Option('--entries <addresses>', 'operator addresses of entries, ip:port separated by commas')
    .env('GODWITPOINT_ENTRIES').argParser((text: string) => text.split(',').filter((address) => address !== '')).makeOptionMandatory()
}

/** Creates operator clients for the addresses given with {@link entriesOption}. */
export function operatorClients (addresses: readonly string[]): OperatorClient[] {
  return addresses.map((address) => new OperatorClient(address, process.env[TOKEN_VARIABLE]))
}

/** Runs `work` with a platform client and closes the client afterwards. */
export async function withPlatform (url: string, work: (platform: HttpPlatform) => Promise<void>): Promise<void> {
  await using platform = new HttpPlatform(url)
  await work(platform)
}

/** Output of a command. */
export interface Io {
  /** Writes lines to the standard output. */
  print (...lines: readonly string[]): void
  /** Writes an error and sets the exit code. */
  fail (code: number, message: string): void
  /** Sets the exit code. */
  exit (code: number): void
}

/** The standard output, standard error and exit code of this process. */
export const PROCESS_IO: Io = {
  print (...lines) {
    process.stdout.write(lines.map((line) => `${line}\n`).join(''))
  },
  fail (code, message) {
    process.stderr.write(`godwitpoint: ${message}\n`)
    process.exitCode = code
  },
  exit (code) {
    process.exitCode = code
  }
}
