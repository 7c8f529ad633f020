/** Which machine caches which images, as the leader tells its peers page by page; kept for the next leader. */
import type { ImageLocations } from '../../core/leader/effects.js';
import type { Leader } from '../../core/leader/leader.js';
import { monotonicNow } from '../clock.js';
import type { PeerLink } from './peer-link.js';

const MACHINES_PER_PAGE = 100;
const RETENTION_MS = 60_000;
const RESPONSE_TIMEOUT_MS = 1000;

/** What this controller knows of the caches of machines. */
export class ImageLocationStore {
  private readonly byMachine = new Map<string, { images: ImageLocations[string]; receivedAt: number }>();
  private nextMachine = 0;

  /**
   * The next page of all. Guards against a message that outgrows a frame: a peer that gets one too large ends the
   * connection.
   */
  nextPage(all: ImageLocations): ImageLocations {
    const ids = Object.keys(all);
    if (this.nextMachine >= ids.length) this.nextMachine = 0;
    const pageIds = ids.slice(this.nextMachine, this.nextMachine + MACHINES_PER_PAGE);
    this.nextMachine += MACHINES_PER_PAGE;
    return Object.fromEntries(pageIds.map((id) => [id, all[id]]));
  }

  /** Adds to what is known; machines that were not named for long are forgotten. */
  merge(page: ImageLocations, now: number): void {
    for (const [id, images] of Object.entries(page)) this.byMachine.set(id, { images, receivedAt: now });
    for (const [id, { receivedAt: at }] of this.byMachine)
      if (now - at > RETENTION_MS) this.byMachine.delete(id);
  }

  /** What a new leader is loaded with. */
  all(): ImageLocations {
    return Object.fromEntries([...this.byMachine].map(([id, { images }]) => [id, images]));
  }
}

/**
 * Tells every peer the leader's next page: a new leader finds out by heartbeats what runs where, but not which images are
 * cached.
 */
export const shareImageLocations = (
  leader: Leader | null,
  store: ImageLocationStore,
  links: readonly PeerLink[],
): void => {
  if (!leader) return;
  const locations = store.nextPage(leader.imageLocations());
  store.merge(locations, monotonicNow());
  for (const link of links)
    void link.sendRequest({ kind: 'image-locations', locations }, RESPONSE_TIMEOUT_MS);
};
