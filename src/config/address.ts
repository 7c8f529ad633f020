/** Network addresses as the settings and the cloud write them. */

/** Where a service listens. */
export interface Address {
  host: string;
  port: number;
}

/** Splits `host:port`. */
export const parseAddress = (text: string): Address => {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
};
