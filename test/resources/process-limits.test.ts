import * as chai from 'chai'
import * as resources from '../../src/resources/index.js'

const MIB = 1024 * 1024

describe('limits of a process', () => {
  // A limit that depends on what is not known would refuse ordinary requests.
  it('are constants without the memory and the descriptors of the VM', () => {
    const limits = resources.computeLimits({}, 80 * MIB)
    chai.expect(limits).to.include({ bufferBytes: 128 * MIB, residentBytes: Infinity, callerConnections: Infinity, targetConnections: Infinity, savesMemory: false })
  })

  it('leave the process within its VM, and room for some of the largest bodies on any', () => {
    for (const memoryMb of [100, 160, 210, 490, 602]) {
      const { bufferBytes, residentBytes } = resources.computeLimits({ memoryBytes: memoryMb * MIB, descriptors: 2_212 }, 75 * MIB)
      chai.expect(residentBytes).to.be.lessThan(memoryMb * MIB)
      chai.expect(bufferBytes).to.be.at.least(12 * MIB)
      if (memoryMb >= 160) chai.expect(75 * MIB + 2 * bufferBytes).to.be.lessThan(residentBytes)
    }
  })

  it('leave the descriptors that are reserved for files', () => {
    const { callerConnections, targetConnections } = resources.computeLimits({ descriptors: 2_212 }, 0)
    chai.expect(callerConnections + targetConnections).to.be.lessThan(2_012)
  })
})
