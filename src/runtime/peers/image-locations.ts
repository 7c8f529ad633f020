// Which machine caches what, as the leader tells it page by page; kept for the next leader.
import type { ImageLocations } from '../../core/leader/leader.js';

const PAGE = 100;
const KEPT_MS = 60_000;

export class ImageLocationStore {
  private readonly known = new Map<string, { images: ImageLocations[string]; at: number }>();
  private next = 0;

  /**
   * The next page of all. One message with all machines would outgrow a frame, and a peer that gets one too large ends
   * the connection.
   */
  nextPage(all: ImageLocations): ImageLocations {
    const ids = Object.keys(all);
    if (this.next >= ids.length) this.next = 0;
    const page = Object.fromEntries(ids.slice(this.next, this.next + PAGE).map((id) => [id, all[id]]));
    this.next += PAGE;
    return page;
  }

  /** Adds to what is known; machines not told of for a minute are gone. */
  merge(page: ImageLocations, now: number): void {
    for (const [id, images] of Object.entries(page)) this.known.set(id, { images, at: now });
    for (const [id, { at }] of this.known) if (now - at > KEPT_MS) this.known.delete(id);
  }

  all(): ImageLocations {
    return Object.fromEntries([...this.known].map(([id, { images }]) => [id, images]));
  }
}
