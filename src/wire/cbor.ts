/** CBOR, the encoding of every message and every stored value. */
import { Decoder } from 'cbor-x/decode';
import { Encoder } from 'cbor-x/encode';

// Plain maps only: no records and no tags, which are cbor-x's own additions to the format.
const encoder = new Encoder({ useRecords: false, tagUint8Array: false, variableMapSize: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Encodes one value. */
export const encode = (value: unknown): Buffer => Buffer.from(encoder.encode(value));

/** Decodes exactly one value. Throws on malformed input and on trailing bytes. */
export const decode = (bytes: Buffer): unknown => decoder.decode(bytes) as unknown;

/** The same for outside input: undefined when it isn't one well-formed value. */
export const tryDecode = (bytes: Buffer): unknown => {
  if (bytes.length === 0) return undefined;
  try {
    return decode(bytes);
  } catch {
    return undefined;
  }
};
