/** `godwitpoint report` and `godwitpoint drain`: report on entries and stop them. */
import * as commander from 'commander'
import { allOutcomesHold, mergeReports, renderReport, type EntryReport } from '../report/index.js'
import { entriesOption, EXIT, operatorClients, type Io } from './common.js'

/** Creates the `report` command. */
export function reportCommand (io: Io): commander.Command {
  return new commander.Command('report')
    .description('say whether the outcomes hold, in at most 40 columns; exit code 4 when one does not')
    .addOption(entriesOption())
    .option('--json', 'print JSON for machines')
    .action(async (options: { entries: string[], json?: boolean }) => await printReport(io, options.entries, options.json === true))
}

/** Creates the `drain` command. */
export function drainCommand (io: Io): commander.Command {
  return new commander.Command('drain')
    .description('stop entries gracefully: they are no longer named to callers and finish what runs')
    .addOption(entriesOption())
    .action(async (options: { entries: string[] }) => {
      for (const client of operatorClients(options.entries)) {
        const drained = await client.drain()
        if (drained.err) io.fail(EXIT.failed, drained.val.message)
        else io.print(`${client.address} stopping`)
      }
    })
}

async function printReport (io: Io, entries: readonly string[], json: boolean): Promise<void> {
  const reports: EntryReport[] = []
  const unreachable: string[] = []
  const results = await Promise.all(operatorClients(entries).map(async (client) => ({ address: client.address, result: await client.report() })))
  for (const { address, result } of results) {
    if (result.ok) reports.push(result.val)
    else unreachable.push(address)
  }
  const merged = mergeReports(reports, unreachable)
  io.print(json ? JSON.stringify(merged, null, 2) : renderReport(merged).trimEnd())
  if (!allOutcomesHold(merged)) io.exit(EXIT.outcomeNotMet)
}
