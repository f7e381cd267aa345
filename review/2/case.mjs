/** Two model servers answer a few requests with short lines without end, and without an empty line. */
import * as path from 'node:path'
import * as url from 'node:url'
import * as deployments from '../standins/deployment.mjs'
import * as stallCase from '../standins/stall-case.mjs'

const spoiler = new deployments.Spoiler({ servers: ['i-model-0', 'i-model-1'], share: 0.02, atS: [8, 24], forS: 5.5, how: { text: 'x\n', linesPerMs: 20 } })
await stallCase.run(path.dirname(url.fileURLToPath(import.meta.url)), { spoiler, loadS: 40 })
