/** The HTTP status codes that controllers send or handle. */
export const HTTP_STATUS = {
  ok: 200,
  created: 201,
  badRequest: 400,
  notFound: 404,
  methodNotAllowed: 405,
  conflict: 409,
  gone: 410,
  contentTooLarge: 413,
  misdirected: 421,
  unprocessable: 422,
  tooManyRequests: 429,
  headersTooLarge: 431,
  notImplemented: 501,
  unavailable: 503,
} as const;
