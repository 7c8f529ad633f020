/** The leader's model of the images in a worker's cache, inferred from tasks, since heartbeats don't list images. */

/** Keeps the most recently used images that fit, as the worker's cache does. */
export class ImageCache {
  /** Sizes by image, the least recently used first. */
  private readonly sizesGb = new Map<string, number>();

  /** Images with their sizes, the least recently used first. */
  entries(): [string, number][] {
    return [...this.sizesGb];
  }

  /** Whether the cache holds the image. */
  has(image: string): boolean {
    return this.sizesGb.has(image);
  }

  /** Records a use of the image and evicts others, least recently used first, until it fits or is the only one. */
  recordUse(image: string, imageGb: number, capacityGb: number): void {
    this.sizesGb.delete(image);
    this.sizesGb.set(image, imageGb);
    let totalGb = 0;
    for (const sizeGb of this.sizesGb.values()) totalGb += sizeGb;
    for (const [name, sizeGb] of this.sizesGb) {
      if (totalGb <= capacityGb || this.sizesGb.size === 1) break;
      this.sizesGb.delete(name);
      totalGb -= sizeGb;
    }
  }
}
