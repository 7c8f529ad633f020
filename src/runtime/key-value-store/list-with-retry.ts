/** Listing of a key prefix with retries, for components that cannot start without it. */
import { sleep } from '../clock.js';
import type { KeyValueStoreClient, Listing } from './key-value-store-client.js';

const RETRY_DELAY_MS = 200;

/** Lists a prefix, and retries until the store responds. Returns null once `isStopped` returns true. */
export const listWithRetry = async (
  store: KeyValueStoreClient,
  prefix: string,
  isStopped: () => boolean,
): Promise<Listing | null> => {
  while (!isStopped()) {
    const outcome = await store.list(prefix);
    if (outcome.kind === 'ok') return outcome.value;
    await sleep(RETRY_DELAY_MS);
  }
  return null;
};
