/** Memory of this process, for tests of what buffers cost. */
import * as v8 from 'node:v8'
import * as vm from 'node:vm'

/** Bytes of the heap in use after a garbage collection; the contents of buffers lie outside of it, the buffers themselves do not. */
export function usedHeapBytes (): number {
  v8.setFlagsFromString('--expose-gc')
  const collectGarbage = vm.runInNewContext('gc') as () => void
  collectGarbage()
  return process.memoryUsage().heapUsed
}
