// Users' requests. Any controller takes them: the job's record in the state service is the truth, and nothing
// is told to a user that it doesn't hold.
import type { HttpMessage } from './http-parser.js';
import type { HttpReply } from './http-server.js';
import { reserves, type StateClient } from './state-client.js';
import type { Platform } from '../config/platform.js';
import { withinLimit } from '../core/scheduler/rules.js';
import { canBeSpread, fitsSomeType } from '../core/scaling.js';
import type { FinalRecord, JobRecord, JobSpec, MachineType, TeamLimits } from '../core/types.js';
import type { JobId, Stamp, Team, WallTime } from '../core/units.js';
import { encode, tryDecode } from '../wire/cbor.js';
import { keys, parseFinal, parseJobRecord } from '../wire/state.js';
import { isJobId, parseJob, statusBody, type UserStatus } from '../wire/users.js';

const FINALS_KEPT = 20_000;
const RETRY_S = 1;

type Lookup =
  | { kind: 'active'; record: JobRecord; stamp: Stamp }
  | { kind: 'final'; record: FinalRecord }
  /** A record that can't be read: its job was accepted, and nothing else is known of it. */
  | { kind: 'damaged' }
  | { kind: 'none' }
  | { kind: 'undecided' };

const busy = (cause: string): HttpReply => ({
  status: 503,
  retryAfterS: RETRY_S,
  cause,
  body: encode({ error: cause }),
});
const bad = (status: number, cause: string): HttpReply => ({ status, body: encode({ error: cause }) });
const good = (body: unknown, status = 200): HttpReply => ({ status, body: encode(body) });

export class UserApi {
  /** Final states never change, so they alone may be answered from memory. */
  private readonly finals = new Map<JobId, FinalRecord>();
  private readonly teams: Map<Team, TeamLimits>;

  constructor(
    private readonly platform: Platform,
    private readonly state: StateClient,
    private readonly types: () => MachineType[],
    private readonly counts: (id: JobId) => Promise<{ done: number; running: number } | null>,
    /** A user is about to be told that this job, whose tasks may still be there, is cancelled. */
    private readonly confirming: (id: JobId) => void,
  ) {
    this.teams = new Map(platform.teams.map((t) => [t.name, t]));
  }

  async handle(request: HttpMessage): Promise<HttpReply> {
    const path = request.target.split('?', 1)[0];
    if (path === '/v1/jobs') {
      return request.method === 'POST' ? this.submit(request.body) : bad(405, 'use POST');
    }
    const match = /^\/v1\/jobs\/([^/]+)(\/abort)?$/.exec(path);
    if (!match) return bad(404, 'no such path');
    const id = match[1];
    const abort = match[2] !== undefined;
    if (request.method !== (abort ? 'POST' : 'GET')) return bad(405, abort ? 'use POST' : 'use GET');
    if (!isJobId(id)) return bad(404, 'no such job');
    return abort ? this.abort(id) : this.status(id);
  }

  private async submit(body: Buffer): Promise<HttpReply> {
    const raw = tryDecode(body);
    if (typeof raw !== 'object' || raw === null || Array.isArray(raw)) return bad(400, 'expected a CBOR map');
    const parsed = parseJob(raw);
    if (!parsed.ok) return this.unlessKnown(raw, bad(400, parsed.cause));
    const spec = parsed.value;
    const never = this.canNeverRun(spec);
    if (never === 'undecided') return busy('machine types not known yet');
    if (never !== null) return this.unlessKnown(raw, bad(422, never));
    const final = this.finals.get(spec.id);
    if (final) return good(statusBody(spec.id, final.state));
    const record: JobRecord = { spec, submittedAt: Date.now() as WallTime, cancelledAt: null };
    const data = encode(record);
    if (data.length * 1.5 > this.platform.stateLimits.valueKb * 1024)
      return bad(400, 'job description too large');
    const r = await this.state.transact({
      if: [
        { key: keys.active(spec.id), stamp: 0 },
        { key: keys.final(spec.id), stamp: 0 },
      ],
      then: [{ put: keys.active(spec.id), data: record }],
    });
    if (r.kind === 'ok') return good(statusBody(spec.id, 'pending'), 201);
    if (r.kind === 'refused' || r.kind === 'lease-gone') return busy('state service refuses');
    // Known already, or the answer was lost: what is recorded decides.
    const known = await this.lookup(spec.id);
    if (known.kind === 'none' || known.kind === 'undecided') return busy('not certain to be recorded');
    return this.describe(spec.id, known);
  }

  /** An accepted job is never refused when it is submitted again, whatever has changed since. */
  private async unlessKnown(raw: object, refusal: HttpReply): Promise<HttpReply> {
    const id = (raw as { nameId?: unknown }).nameId;
    if (typeof id !== 'string' || !isJobId(id)) return refusal;
    const known = await this.lookup(id);
    if (known.kind === 'undecided') return busy('state service does not answer');
    return known.kind === 'none' ? refusal : this.describe(id, known);
  }

  /** Why it can never run; 'undecided' while the machine types are unknown, null if it can. */
  private canNeverRun(spec: JobSpec): string | null {
    const team = this.teams.get(spec.team);
    if (!team) return 'unknown team';
    const tasks = spec.kind === 'array' ? 1 : spec.tasks;
    const need = { cpus: spec.cpus * tasks, gpus: spec.gpus * tasks, memoryGb: 0 };
    if (!withinLimit(need, undefined, team)) return "more than the team's limit";
    const types = this.types();
    if (types.length === 0) return 'undecided';
    if (!fitsSomeType(spec, types)) return 'a task fits no allowed machine type';
    return canBeSpread(spec, types) ? null : 'its tasks can not be spread over the allowed zones';
  }

  private async status(id: JobId): Promise<HttpReply> {
    const found = await this.lookup(id);
    if (found.kind === 'none') return bad(404, 'no such job');
    if (found.kind === 'undecided') return busy('state service does not answer');
    return this.describe(id, found);
  }

  private async describe(id: JobId, found: Lookup): Promise<HttpReply> {
    if (found.kind === 'final') {
      const done = found.record.tasks;
      return good(statusBody(id, found.record.state, { done, running: 0 }));
    }
    if (found.kind === 'damaged') return good(statusBody(id, 'pending', { done: 0, running: 0 }));
    if (found.kind !== 'active') return busy('not certain');
    if (found.record.cancelledAt !== null) return this.describeCancelled(id);
    const counts = (await this.counts(id)) ?? { done: 0, running: 0 };
    const status: UserStatus = counts.running > 0 ? 'running' : 'pending';
    return good(statusBody(id, status, counts));
  }

  private async abort(id: JobId): Promise<HttpReply> {
    for (let tries = 0; tries < 3; tries++) {
      const found = await this.lookup(id);
      if (found.kind === 'none') return bad(404, 'no such job');
      if (found.kind === 'undecided' || found.kind === 'damaged') return busy('not certain');
      if (found.kind === 'final') return good(statusBody(id, found.record.state));
      if (found.record.cancelledAt !== null) return this.describeCancelled(id);
      // Done against cancelled is decided here: both compare the job's record.
      const record: JobRecord = { ...found.record, cancelledAt: Date.now() as WallTime };
      const r = await this.state.transact(
        {
          if: [{ key: keys.active(id), stamp: found.stamp }],
          then: [{ put: keys.active(id), data: record }],
        },
        reserves.urgent,
      );
      if (r.kind === 'ok') return this.describeCancelled(id);
      if (r.kind === 'refused') return busy('state service refuses');
    }
    return busy('not certain to be recorded');
  }

  private describeCancelled(id: JobId): HttpReply {
    this.confirming(id);
    return good(statusBody(id, 'cancelled', { done: 0, running: 0 }));
  }

  /** Active first, then final: a job that finishes between the two reads is found by the second. */
  private async lookup(id: JobId): Promise<Lookup> {
    const kept = this.finals.get(id);
    if (kept) return { kind: 'final', record: kept };
    const active = await this.state.get(keys.active(id));
    if (active.kind === 'ok') {
      const record = parseJobRecord(active.value.data);
      return record ? { kind: 'active', record, stamp: active.value.stamp } : { kind: 'damaged' };
    }
    if (active.kind !== 'gone') return { kind: 'undecided' };
    const final = await this.state.get(keys.final(id));
    if (final.kind === 'gone') return { kind: 'none' };
    const record = final.kind === 'ok' ? parseFinal(final.value.data) : null;
    if (!record) return { kind: 'undecided' };
    if (this.finals.size >= FINALS_KEPT) this.finals.delete(this.finals.keys().next().value!);
    this.finals.set(id, record);
    return { kind: 'final', record };
  }
}
