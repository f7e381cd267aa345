import * as chai from 'chai'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as resources from '../../src/resources/index.js'
import * as time from '../../src/time/index.js'

describe('ProcessResources', () => {
  // A process that ended at its heap limit left no figure that told a leak from full buffers.
  it('reports the memory of the process, its heap and its buffers apart', async () => {
    const counters = new metrics.Metrics()
    const lines: object[] = []
    const virtual = new time.VirtualTime()
    const processResources = new resources.ProcessResources({
      limits: { ...resources.computeLimits({}, 0), residentBytes: 300 },
      process: { residentBytes: () => 400, heapSize: () => ({ usedBytes: 120, limitBytes: 200 }), collect: () => {} },
      env: virtual.env(1),
      log: { ...log.SILENT_LOGGER, warn: (fields) => { lines.push(fields) } },
      metrics: counters
    })
    processResources.buffers.take(50)
    processResources.recordSizes()
    const gauges = ['resident', 'heap', 'heap_limit', 'buffered'].map((part) => counters.counter(`godwitpoint_${part}_bytes`))
    chai.expect(gauges).to.deep.equal([400, 120, 200, 50])
    processResources.start()
    await virtual.advance(1_000)
    processResources[Symbol.dispose]()
    chai.expect(lines[0]).to.deep.equal({ resident_bytes: 400, limit_bytes: 300, buffered_bytes: 50, heap_bytes: 120 })
  })
})
