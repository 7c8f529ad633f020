/**
 * The images that each machine caches. The leader sends them to its peers in pages, and the next leader starts with the
 * copy that its controller holds.
 */
import type { ImageLocations } from '../../core/leader/effects.js';
import type { Leader } from '../../core/leader/leader.js';
import { monotonicNow } from '../clock.js';
import type { PeerLink } from './peer-link.js';

const MACHINES_PER_MESSAGE = 100;
const RETENTION_MS = 60_000;
const IMAGE_LOCATIONS_TIMEOUT_MS = 1000;

/** This controller's copy of the image locations. */
export class ImageLocationStore {
  private readonly byMachine = new Map<string, { images: ImageLocations[string]; receivedAt: number }>();
  private nextMachineIndex = 0;

  /**
   * Returns the next page of `all`, starting over at the end. Pages keep each message below the maximum frame size: a
   * peer closes the connection when it receives a larger frame.
   */
  nextPage(all: ImageLocations): ImageLocations {
    const ids = Object.keys(all);
    if (this.nextMachineIndex >= ids.length) this.nextMachineIndex = 0;
    const pageIds = ids.slice(this.nextMachineIndex, this.nextMachineIndex + MACHINES_PER_MESSAGE);
    this.nextMachineIndex += MACHINES_PER_MESSAGE;
    return Object.fromEntries(pageIds.map((id) => [id, all[id]]));
  }

  /** Stores the locations of a page, and drops machines that no page has contained within the retention time. */
  merge(page: ImageLocations, now: number): void {
    for (const [id, images] of Object.entries(page)) this.byMachine.set(id, { images, receivedAt: now });
    for (const [id, { receivedAt }] of this.byMachine)
      if (now - receivedAt > RETENTION_MS) this.byMachine.delete(id);
  }

  /** All locations, for a new leader of this controller. */
  all(): ImageLocations {
    return Object.fromEntries([...this.byMachine].map(([id, { images }]) => [id, images]));
  }
}

/**
 * Sends the leader's next page to every peer. Heartbeats report the tasks of each machine to a new leader, but not its
 * cached images.
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
    void link.sendRequest({ kind: 'image-locations', locations }, IMAGE_LOCATIONS_TIMEOUT_MS);
};
