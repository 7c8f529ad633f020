/** Structured log lines on standard error. */
import { pino } from 'pino';
import { monotonicNow } from './clock.js';

type Level = 'error' | 'info' | 'debug';
type Fields = Record<string, unknown>;

const MIN_LINE_INTERVAL_MS = 1000;
const MAX_RATE_LIMIT_KEYS = 500;

const parseLevel = (raw: string | undefined): Level => (raw === 'error' || raw === 'debug' ? raw : 'info');

/** Writes JSON log lines synchronously, so that a process that is killed loses none. */
export class Logger {
  private readonly sink;
  private readonly lastWritten = new Map<string, { at: number; skipped: number }>();

  constructor(name: string, level: string | undefined = process.env['LOG_LEVEL']) {
    this.sink = pino(
      {
        level: parseLevel(level),
        base: { node: name },
        formatters: { level: (label) => ({ level: label }) },
      },
      pino.destination({ dest: 2, sync: true }),
    );
  }

  /** Logs an event that needs an operator's attention. */
  error(fields: Fields, text: string): void {
    this.sink.error(fields, text);
  }

  /** Logs an event of normal operation. */
  info(fields: Fields, text: string): void {
    this.sink.info(fields, text);
  }

  /** Logs an event that occurs for each request, lease renewal or placement. */
  debug(fields: Fields, text: string): void {
    this.sink.debug(fields, text);
  }

  /**
   * Logs at most one line per second for each key, with the number of lines skipped since the last one. Without the
   * limit, a failing peer, worker or client could use up this controller's CPU share through log lines.
   */
  rateLimited(key: string, level: Level, fields: Fields, text: string): void {
    const now = monotonicNow();
    const last = this.lastWritten.get(key);
    if (last && now - last.at < MIN_LINE_INTERVAL_MS) {
      last.skipped++;
      return;
    }
    if (this.lastWritten.size > MAX_RATE_LIMIT_KEYS) this.lastWritten.clear();
    this.lastWritten.set(key, { at: now, skipped: 0 });
    this.sink[level](last?.skipped ? { ...fields, skipped: last.skipped } : fields, text);
  }
}
