/** Lists a prefix of the store for those that can't begin without it. */
import { sleep } from '../clock.js';
import type { KeyValueStoreClient, Listing } from './key-value-store-client.js';

const RETRY_MS = 200;

/** Tries until the store answers; null once stopped. */
export const listWithRetry = async (
  store: KeyValueStoreClient,
  prefix: string,
  isStopped: () => boolean,
): Promise<Listing | null> => {
  while (!isStopped()) {
    const outcome = await store.list(prefix);
    if (outcome.kind === 'ok') return outcome.value;
    await sleep(RETRY_MS);
  }
  return null;
};
