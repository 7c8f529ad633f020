import { pino } from 'pino';

type Level = 'error' | 'info' | 'debug';
type Fields = Record<string, unknown>;

const levelFrom = (raw: string | undefined): Level => (raw === 'error' || raw === 'debug' ? raw : 'info');

/** Structured lines on standard error, written synchronously: a killed process loses none. */
export class Logger {
  private readonly sink;
  private readonly seen = new Map<string, { at: number; skipped: number }>();

  constructor(name: string, level: string | undefined = process.env['LOG_LEVEL']) {
    this.sink = pino(
      { level: levelFrom(level), base: { node: name }, formatters: { level: (label) => ({ level: label }) } },
      pino.destination({ dest: 2, sync: true }),
    );
  }

  error(fields: Fields, text: string): void {
    this.sink.error(fields, text);
  }

  info(fields: Fields, text: string): void {
    this.sink.info(fields, text);
  }

  debug(fields: Fields, text: string): void {
    this.sink.debug(fields, text);
  }

  /** At most one line a second for each key: a failing neighbour must not cost us our processor share. */
  rateLimited(key: string, level: Level, fields: Fields, text: string): void {
    const now = performance.now();
    const last = this.seen.get(key);
    if (last && now - last.at < 1000) {
      last.skipped++;
      return;
    }
    if (this.seen.size > 500) this.seen.clear();
    this.seen.set(key, { at: now, skipped: 0 });
    this.sink[level](last?.skipped ? { ...fields, skipped: last.skipped } : fields, text);
  }
}
