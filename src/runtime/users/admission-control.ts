// The users' stage: so many requests at once, and the rest is answered at once with a time to come back. Nobody is
// turned away again and again: who was turned away has a part of the stage that others don't get.
const TURNED_AWAY_KEPT = 5000;

export class AdmissionControl {
  private open = 0;
  private readonly turnedAway = new Set<string>();
  refusedCount = 0;

  constructor(
    private readonly most: number,
    private readonly reserved: number,
  ) {}

  get openRequests(): number {
    return this.open;
  }

  /** `who` names what the request asks about; null where only the body says. */
  tryAdmit(who: string | null): boolean {
    const before = who !== null && this.turnedAway.has(who);
    if (this.open >= this.most + (before ? this.reserved : 0)) {
      this.refusedCount++;
      if (who !== null) {
        // Bounded: the names come from outside.
        if (this.turnedAway.size >= TURNED_AWAY_KEPT) this.turnedAway.clear();
        this.turnedAway.add(who);
      }
      return false;
    }
    this.open++;
    return true;
  }

  /** Answered with something other than "come back". */
  release(who: string | null, served: boolean): void {
    this.open--;
    if (who === null) return;
    if (served) this.turnedAway.delete(who);
    else if (this.turnedAway.size < TURNED_AWAY_KEPT) this.turnedAway.add(who);
  }
}
