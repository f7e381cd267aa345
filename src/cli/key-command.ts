/** `godwitpoint key`: creates, withdraws and lists keys. */
import * as commander from 'commander'
import { editConfig, readConfig } from '../config/index.js'
import { createKey } from '../entry/index.js'
import { Err, Ok } from '../errors/index.js'
import { entriesOption, EXIT, operatorClients, platformOption, withPlatform, type Io } from './common.js'

/** Creates the command group. */
export function keyCommand (io: Io): commander.Command {
  return new commander.Command('key')
    .description('create, withdraw and list keys of client accounts')
    .addCommand(createSubcommand(io))
    .addCommand(withdrawSubcommand(io))
    .addCommand(listSubcommand(io))
}

interface Options {
  readonly platform: string
}

function createSubcommand (io: Io): commander.Command {
  return new commander.Command('create')
    .description('create a key; its text is shown this once and kept nowhere')
    .argument('<account>', 'client account')
    .addOption(platformOption())
    .action(async (account: string, options: Options) => await withPlatform(options.platform, async ({ store }) => {
      const key = createKey()
      const row = { id: key.id, account, digest: key.digest, withdrawn: false }
      const edited = await editConfig(store, (set) => {
        if (!set.accounts.some((item) => item.name === account)) return Err(`there is no account ${account}`)
        return Ok({ ...set, keys: [...set.keys.filter((item) => item.id !== key.id), row] })
      })
      if (edited.err) io.fail(EXIT.failed, edited.val)
      else io.print(key.text)
    }))
}

function withdrawSubcommand (io: Io): commander.Command {
  return new commander.Command('withdraw')
    .description('stop a key from working on all entries')
    .argument('<id>', 'id of the key: the part after gw_')
    .addOption(entriesOption())
    .action(async (id: string, options: { entries: string[] }) => await withdraw(io, id, options.entries))
}

async function withdraw (io: Io, id: string, entries: readonly string[]): Promise<void> {
  for (const client of operatorClients(entries)) {
    const outcome = await client.withdrawKey(id)
    if (outcome.err) continue
    const { stored, confirmed, unconfirmed } = outcome.val
    io.print(`refused by ${confirmed.length} entries`, `stored ${stored ? 'yes' : 'not yet: the store does not answer; entries keep trying'}`)
    if (unconfirmed.length > 0) {
      io.fail(EXIT.failed, `no confirmation from ${unconfirmed.join(', ')}; they refuse all keys unless they learn of it within seconds`)
    }
    return
  }
  io.fail(EXIT.failed, 'no entry took the withdrawal; nothing was changed')
}

function listSubcommand (io: Io): commander.Command {
  return new commander.Command('list')
    .description('list key ids by account')
    .option('--account <name>', 'only keys of this account')
    .addOption(platformOption())
    .action(async (options: Options & { account?: string }) => await withPlatform(options.platform, async ({ store }) => {
      const published = await readConfig(store)
      if (published.err) {
        io.fail(EXIT.failed, published.val.message)
        return
      }
      const keys = (published.val?.set.keys ?? []).filter((key) => options.account === undefined || key.account === options.account)
      io.print(...keys.map((key) => `${key.id} ${key.account} ${key.withdrawn ? 'withdrawn' : 'active'}`))
    }))
}
