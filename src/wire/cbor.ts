/** Encodes and decodes CBOR, the format of all messages and stored values. */
import { Decoder } from 'cbor-x/decode';
import { Encoder } from 'cbor-x/encode';

// Only standard maps and byte strings: the records and typed-array tags of cbor-x are extensions of the format.
const encoder = new Encoder({ useRecords: false, tagUint8Array: false, variableMapSize: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Encodes one value. */
export const encode = (value: unknown): Buffer => Buffer.from(encoder.encode(value));

/** Decodes exactly one value. Throws on malformed input and on trailing bytes. */
export const decode = (bytes: Buffer): unknown => decoder.decode(bytes) as unknown;

/** Decodes untrusted input; undefined unless it is exactly one well-formed value. */
export const tryDecode = (bytes: Buffer): unknown => {
  if (bytes.length === 0) return undefined;
  try {
    return decode(bytes);
  } catch {
    return undefined;
  }
};
