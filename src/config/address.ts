/** Network addresses of the form `host:port`, as used in the settings and in the cloud provider's list of machines. */

/** The address of a service. */
export interface Address {
  host: string;
  port: number;
}

/** Splits `host:port`. */
export const parseAddress = (text: string): Address => {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
};
