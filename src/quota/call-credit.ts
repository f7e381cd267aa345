/** Credit of one admitted call, from its admission to its end. */
import type * as calls from '../call/index.js'
import type * as shareBucket from './share-bucket.js'

/** Holds the credit of a call; it returns unless a send of the call may have been executed. */
export class ChargedCall implements calls.CallCredit {
  /** Charges of the sends that may have been executed. */
  private readonly sends: shareBucket.Charge[] = []

  constructor (private readonly bucket: shareBucket.ShareBucket, readonly cost: number, private readonly charge: shareBucket.Charge) {}

  get isValid (): boolean {
    return this.sends.length > 0 || this.bucket.renew(this.charge)
  }

  mayWrite (): boolean {
    if (!this.isValid) return false
    // A repetition of a call that may have been executed is executed besides it, and was not paid for.
    if (this.sends.length === 0) this.bucket.noteWritten(this.charge)
    this.sends.push(this.sends.length === 0 ? this.charge : this.bucket.force(this.cost))
    return true
  }

  noteNotExecuted (): void {
    const charge = this.sends.pop()
    if (charge === undefined) return
    this.bucket.noteNotExecuted(charge)
    if (this.sends.length > 0) this.bucket.refund(charge)
  }

  /** Ends the call; true when its credit was refunded. */
  end (): boolean {
    if (this.sends.length > 0) return false
    this.bucket.refund(this.charge)
    return true
  }
}
