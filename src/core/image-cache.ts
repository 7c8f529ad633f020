/** The images in a worker's cache, as the leader infers them: heartbeats don't name them. */

/** Keeps the most recently used images, as far as they fit, as the worker's cache does. */
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

  /** The image was used; the least recently used ones leave until the others fit. One that is too large stays alone. */
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
