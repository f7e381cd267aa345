import * as chai from 'chai'
import * as fc from 'fast-check'
import * as z from 'zod'
import * as config from '../../src/config/index.js'
import * as usageFinals from '../../src/duties/usage-finals.js'
import * as validation from '../../src/validation/index.js'
import * as servingConfig from '../../platform/serving-config.js'
import * as targetProtocol from '../../platform/target-protocol.js'

/** A list as long as the largest objects and messages allow. */
const WRONG_LIST = Array<number>(500_000).fill(0.5)
const WRONG_RECORD = Object.fromEntries(WRONG_LIST.slice(0, 100_000).map((value, index) => [`k${index}`, value]))

/** Most issues of a message with one level of lists in another. */
const ISSUE_BOUND = 2 * validation.MAX_ISSUES

/** Issues with which a schema rejects a value; 0 if it accepts it. */
function countIssues (schema: z.ZodType, value: unknown): number {
  return schema.safeParse(value).error?.issues.length ?? 0
}

const Row = z.tuple([z.string(), z.int()])
const Labelled = z.object({ name: z.string().default('none'), rows: validation.list(Row).optional() })

/** Pairs of a schema of this module and one of zod that accepts the same values. */
const EQUIVALENTS: Record<string, readonly [z.ZodType, z.ZodType]> = {
  list: [validation.list(Row), z.array(Row)],
  'bounded list': [validation.list(z.int(), { min: 1, max: 3 }), z.array(z.int()).min(1).max(3)],
  'list of objects': [validation.list(Labelled), z.array(z.object({ name: z.string().default('none'), rows: z.array(Row).optional() }))],
  record: [validation.record(z.string().max(2), z.int()), z.record(z.string().max(2), z.int())],
  'record of lists': [validation.record(z.string(), validation.list(z.int())), z.record(z.string(), z.array(z.int()))],
  'tuple with rest': [validation.tupleWithRest(z.string(), z.int()), z.tuple([z.string()], z.int())]
}

const Json = fc.letrec((tie) => ({
  value: fc.oneof({ maxDepth: 3 }, fc.integer({ min: 0, max: 3 }), fc.constantFrom('a', 'name', 0.5, null), fc.array(tie('value'), { maxLength: 4 }), fc.dictionary(fc.constantFrom('a', 'name', 'rows', 'long'), tie('value')), fc.array(fc.tuple(fc.string({ maxLength: 2 }), fc.integer()), { maxLength: 3 }))
})).value

// One malformed list of 1 MiB made 500,000 error objects of several hundred bytes, at which a gateway ended, or an exceeded stack.
describe('schemas of lists and records', () => {
  const schemas: Record<string, readonly [z.ZodType, unknown]> = {
    list: [validation.list(z.int()), WRONG_LIST],
    'list of lists': [validation.list(validation.list(z.int())), [WRONG_LIST, ...WRONG_LIST]],
    record: [validation.record(z.string(), z.int()), WRONG_RECORD],
    'record with malformed keys': [validation.record(z.string().max(1), z.unknown()), WRONG_RECORD],
    'record of records': [validation.record(z.string(), validation.record(z.string(), z.int())), { a: WRONG_RECORD, ...WRONG_RECORD }],
    'tuple with rest': [validation.tupleWithRest(z.string(), z.int()), ['', ...WRONG_LIST]]
  }
  for (const [name, [schema, value]] of Object.entries(schemas)) {
    it(`stop at a few issues: ${name}`, () => {
      chai.expect(countIssues(schema, value)).to.be.within(1, ISSUE_BOUND)
    })
  }

  for (const [name, [schema, equivalent]] of Object.entries(EQUIVALENTS)) {
    it(`accept what the schemas of zod accept, and name an element that these reject: ${name}`, () => {
      fc.assert(fc.property(Json, (value) => {
        const actual = schema.safeParse(value)
        const expected = equivalent.safeParse(value)
        chai.expect(actual.data).to.deep.equal(expected.data)
        const expectedPaths = expected.error?.issues.map((issue) => issue.path.join('.'))
        if (actual.error !== undefined) chai.expect(expectedPaths).to.include(actual.error.issues[0]!.path.join('.'))
      }), { seed: 39, numRuns: 500 })
    })
  }

  it('encode what they decode', () => {
    const Rows = validation.list(z.codec(z.string(), z.int(), { decode: Number, encode: String }))
    chai.expect(z.encode(Rows, z.decode(Rows, ['1', '2']))).to.deep.equal(['1', '2'])
    const Sizes = validation.record(z.string(), z.codec(z.string(), z.int(), { decode: Number, encode: String }))
    chai.expect(z.encode(Sizes, { a: 1 })).to.deep.equal({ a: '1' })
  })
})

// The same cause in messages of others: an object of the store by another writer, a message of another gateway, a command's input.
describe('malformed lists from outside', () => {
  it('make few issues in a stored configuration', () => {
    const text = JSON.stringify({ version: 1, routes: WRONG_LIST, services: WRONG_LIST, limits: {}, tenants: WRONG_LIST })
    chai.expect(() => servingConfig.decodeConfig(text)).to.throw(z.ZodError).with.property('issues').with.length.below(4 * ISSUE_BOUND)
  })

  it('make few issues in usage counts and in the input of a command', () => {
    chai.expect(countIssues(usageFinals.FinalCounts, WRONG_RECORD)).to.be.within(1, ISSUE_BOUND)
    chai.expect(countIssues(usageFinals.FinalCounts, { 1: { counts: WRONG_RECORD, reported: true } })).to.be.within(1, ISSUE_BOUND)
    chai.expect(config.checkConfig({ routes: WRONG_LIST, keys: WRONG_LIST }).err).to.equal(true)
  })

  it('are no cache changes', () => {
    const body = Buffer.from(JSON.stringify({ epoch: 'e', next: 1, lost: false, events: WRONG_LIST }))
    chai.expect(new targetProtocol.HttpTargetProtocol().decodeCacheChanges(body)).to.equal(undefined)
  })
})
