// Users' requests. Any controller takes them: the job's record in the state service is the truth, and nothing
// is told to a user that it doesn't hold.
import type { HttpMessage } from '../http/http-message.js';
import type { HttpReply } from '../http/http-reply.js';
import { JobLookup, type KnownJobs, type JobLookupResult } from './job-lookup.js';
import { budgetReserves, type KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';
import type { PlatformSettings } from '../../config/platform.js';
import { withinTeamLimit } from '../../core/scheduler/placement-constraints.js';
import { canBeSpread, fitsSomeType } from '../../core/scaling/scale-out-plan.js';
import type { JobRecord, JobSpec, MachineType, TeamQuota } from '../../core/types.js';
import type { JobId, Team, WallTime } from '../../core/units.js';
import { encode, tryDecode } from '../../wire/cbor.js';
import { fitsValue, jobRecordData, keys } from '../../wire/key-value-store.js';
import { isJobId, parseJob, statusBody, type UserStatus } from '../../wire/users.js';

const RETRY_S = 1;
/** Of a write that meets others of the same record. */
const MAX_TRIES = 3;

const busy = (cause: string): HttpReply => ({
  status: 503,
  retryAfterS: RETRY_S,
  refusalCause: cause,
  body: encode({ error: cause }),
});
const bad = (status: number, cause: string): HttpReply => ({ status, body: encode({ error: cause }) });
type Counts = { done: number; running: number };
const told = (id: JobId, state: UserStatus, counts?: Counts, status = 200): HttpReply => ({
  status,
  body: encode(statusBody(id, state, counts)),
  jobStatus: state,
});

export class UserApi {
  private readonly jobs: JobLookup;
  private readonly teams: Map<Team, TeamQuota>;

  constructor(
    private readonly platform: PlatformSettings,
    private readonly state: KeyValueStoreClient,
    private readonly types: () => MachineType[],
    private readonly counts: (id: JobId) => Promise<{ done: number; running: number } | null>,
    /** A user is about to be told that this job, whose tasks may still be there, is cancelled. */
    private readonly confirming: (id: JobId) => void,
    known: KnownJobs,
  ) {
    this.jobs = new JobLookup(state, known);
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
    const final = this.jobs.cachedFinalRecord(spec.id);
    if (final) return told(spec.id, final.state);
    const refusal = await this.refuseDependencies(spec);
    if (refusal) return refusal.status === 422 ? this.unlessKnown(raw, refusal) : refusal;
    const record: JobRecord = { spec, submittedAt: Date.now() as WallTime, cancelledAt: null };
    const largest = jobRecordData({ ...record, cancelledAt: record.submittedAt });
    if (!fitsValue(largest, this.platform.keyValueStoreLimits.valueKb))
      return this.unlessKnown(raw, bad(400, 'job description too large'));
    const r = await this.state.transact({
      conditions: [
        { key: keys.active(spec.id), revision: 0 },
        { key: keys.final(spec.id), revision: 0 },
      ],
      changes: [{ put: keys.active(spec.id), data: jobRecordData(record) }],
    });
    if (r.kind === 'ok') return told(spec.id, 'pending', undefined, 201);
    if (r.kind === 'refused' || r.kind === 'lease-gone' || r.kind === 'invalid')
      return busy('state service refuses');
    // Known already, or the answer was lost: what is recorded decides.
    const known = await this.jobs.find(spec.id);
    if (known.kind === 'none' || known.kind === 'undecided') return busy('not certain to be recorded');
    return this.describe(spec.id, known);
  }

  /** Null if every job that the job depends on was accepted. */
  private async refuseDependencies({ id, dependsOn }: JobSpec): Promise<HttpReply | null> {
    if (dependsOn.length === 0) return null;
    if (dependsOn.includes(id)) return bad(422, 'awaits itself');
    const accepted = await this.jobs.checkAccepted(dependsOn);
    if (accepted === 'yes') return null;
    if (accepted === 'undecided') return busy('state service does not answer');
    return bad(422, `awaits ${accepted.missing}, which was never accepted`);
  }

  /** An accepted job is never refused when it is submitted again, whatever has changed since. */
  private async unlessKnown(raw: object, refusal: HttpReply): Promise<HttpReply> {
    const id = (raw as { nameId?: unknown }).nameId;
    if (typeof id !== 'string' || !isJobId(id)) return refusal;
    const known = await this.jobs.find(id);
    if (known.kind === 'undecided') return busy('state service does not answer');
    return known.kind === 'none' ? refusal : this.describe(id, known);
  }

  /** Why it can never run; 'undecided' while the machine types are unknown, null if it can. */
  private canNeverRun(spec: JobSpec): string | null {
    const team = this.teams.get(spec.team);
    if (!team) return 'unknown team';
    const tasks = spec.kind === 'array' ? 1 : spec.tasks;
    const need = { cpus: spec.cpus * tasks, gpus: spec.gpus * tasks, memoryGb: 0 };
    if (!withinTeamLimit(need, undefined, team)) return "more than the team's limit";
    const types = this.types();
    if (types.length === 0) return 'undecided';
    if (!fitsSomeType(spec, types)) return 'a task fits no allowed machine type';
    return canBeSpread(spec, types) ? null : 'its tasks can not be spread over the allowed zones';
  }

  private async status(id: JobId): Promise<HttpReply> {
    const found = await this.jobs.find(id);
    if (found.kind === 'none') return bad(404, 'no such job');
    if (found.kind === 'undecided') return busy('state service does not answer');
    return this.describe(id, found);
  }

  private async describe(id: JobId, found: JobLookupResult): Promise<HttpReply> {
    if (found.kind === 'final') {
      const done = found.record.tasks;
      return told(id, found.record.state, { done, running: 0 });
    }
    if (found.kind === 'damaged') return told(id, 'pending', { done: 0, running: 0 });
    if (found.kind !== 'active') return busy('not certain');
    if (found.record.cancelledAt !== null) return this.describeCancelled(id);
    const cancelled = await this.jobs.dependencyCancelled(found.record.spec.dependsOn);
    if (cancelled === 'undecided') return busy('state service does not answer');
    // Recorded before it is told, so that no controller answers anything older afterwards.
    if (cancelled) return this.recordCancelled(id, found);
    const counts = (await this.counts(id)) ?? { done: 0, running: 0 };
    const status: UserStatus = counts.running > 0 ? 'running' : 'pending';
    return told(id, status, counts);
  }

  private async abort(id: JobId): Promise<HttpReply> {
    const found = await this.jobs.find(id);
    if (found.kind === 'none') return bad(404, 'no such job');
    return this.recordCancelled(id, found);
  }

  /** Done against cancelled is decided here: whoever writes either compares the job's record. */
  private async recordCancelled(id: JobId, first: JobLookupResult): Promise<HttpReply> {
    let found = first;
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      if (found.kind === 'final') return told(id, found.record.state);
      if (found.kind !== 'active') return busy('not certain');
      if (found.record.cancelledAt !== null) return this.describeCancelled(id);
      const record = this.cancelledRecord(found.record);
      const r = await this.state.transact(
        {
          conditions: [{ key: keys.active(id), revision: found.revision }],
          changes: [{ put: keys.active(id), data: jobRecordData(record) }],
        },
        budgetReserves.urgent,
      );
      if (r.kind === 'ok') return this.describeCancelled(id);
      if (r.kind === 'refused' || r.kind === 'invalid') return busy('state service refuses');
      found = await this.jobs.find(id);
    }
    return busy('not certain to be recorded');
  }

  /**
   * Guards against a record from before a limit on values was lowered, which could not be written again: a cancelled job
   * starts nowhere any more, so the list of its types, alone of unbounded length, may go.
   */
  private cancelledRecord(record: JobRecord): JobRecord {
    const cancelled = { ...record, cancelledAt: Date.now() as WallTime };
    if (fitsValue(cancelled, this.platform.keyValueStoreLimits.valueKb)) return cancelled;
    return { ...cancelled, spec: { ...record.spec, types: null } };
  }

  private describeCancelled(id: JobId): HttpReply {
    this.confirming(id);
    return told(id, 'cancelled', { done: 0, running: 0 });
  }
}
