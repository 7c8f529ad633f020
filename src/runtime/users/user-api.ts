/**
 * Users' requests. Any controller takes them: the job's record in the key-value store is the truth, and nothing is told
 * to a user that it doesn't hold.
 */
import type { PlatformSettings } from '../../config/platform.js';
import type { JobRecord, JobSpec } from '../../core/job-spec.js';
import type { MachineType } from '../../core/machine-info.js';
import type { TeamQuota } from '../../core/team-quota.js';
import type { JobId, Team } from '../../core/units.js';
import { tryDecode } from '../../wire/cbor.js';
import { fitsValueLimit, jobRecordData, keys } from '../../wire/stored-records.js';
import { isJobId, parseJob, submittedJobId, type StatusCounts, type UserStatus } from '../../wire/users.js';
import { wallClockNow } from '../clock.js';
import type { HttpMessage } from '../http/http-message.js';
import type { HttpReply } from '../http/http-reply.js';
import { budgetReserves, type KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';
import { JobLookup, type JobLookupResult, type KnownJobs } from './job-lookup.js';
import { checkSubmission } from './submission-check.js';
import { jobState, refused, unavailable } from './user-replies.js';
import { HTTP_STATUS } from '../http/http-status.js';

const JOBS_PATH = '/v1/jobs';
const JOB_PATH = /^\/v1\/jobs\/([^/]+)(\/abort)?$/;
/** Of a write that meets others of the same record. */
const MAX_WRITE_ATTEMPTS = 3;
const NO_COUNTS: StatusCounts = { done: 0, running: 0 };

/** What the users' requests depend on. */
export interface UserApiDependencies {
  platform: PlatformSettings;
  store: KeyValueStoreClient;
  machineTypes: () => MachineType[];
  /** The numbers of a job's tasks; null where nobody can tell. */
  taskCounts: (id: JobId) => Promise<StatusCounts | null>;
  /** A user is about to be told that this job, whose tasks may still be there, is cancelled. */
  onCancellationTold: (id: JobId) => void;
  knownJobs: KnownJobs;
}

/** Answers submissions, status requests and cancellations. */
export class UserApi {
  private readonly jobs: JobLookup;
  private readonly teams: Map<Team, TeamQuota>;

  constructor(private readonly dependencies: UserApiDependencies) {
    this.jobs = new JobLookup(dependencies.store, dependencies.knownJobs);
    this.teams = new Map(dependencies.platform.teams.map((team) => [team.name, team]));
  }

  /** Answers one request; 503 where nothing certain can be said. */
  async handle(request: HttpMessage): Promise<HttpReply> {
    const path = request.target.split('?', 1)[0];
    if (path === JOBS_PATH) {
      return request.method === 'POST'
        ? this.submit(request.body)
        : refused(HTTP_STATUS.methodNotAllowed, 'use POST');
    }
    const match = JOB_PATH.exec(path);
    if (!match) return refused(HTTP_STATUS.notFound, 'no such path');
    const id = match[1];
    const abort = match[2] !== undefined;
    if (request.method !== (abort ? 'POST' : 'GET'))
      return refused(HTTP_STATUS.methodNotAllowed, abort ? 'use POST' : 'use GET');
    if (!isJobId(id)) return refused(HTTP_STATUS.notFound, 'no such job');
    return abort ? this.abort(id) : this.status(id);
  }

  private async submit(body: Buffer): Promise<HttpReply> {
    const raw = tryDecode(body);
    if (typeof raw !== 'object' || raw === null || Array.isArray(raw))
      return refused(HTTP_STATUS.badRequest, 'expected a CBOR map');
    const parsed = parseJob(raw);
    if (!parsed.ok) return this.unlessKnown(raw, refused(HTTP_STATUS.badRequest, parsed.cause));
    const spec = parsed.value;
    const check = checkSubmission(spec, this.teams.get(spec.team), this.dependencies.machineTypes());
    if (check.kind === 'undecided') return unavailable('machine types not known yet');
    if (check.kind === 'never-runnable')
      return this.unlessKnown(raw, refused(HTTP_STATUS.unprocessable, check.cause));
    const final = this.jobs.cachedFinalRecord(spec.id);
    if (final) return jobState(spec.id, final.state);
    const refusal = await this.refuseDependencies(spec);
    if (refusal)
      return refusal.status === HTTP_STATUS.unprocessable ? this.unlessKnown(raw, refusal) : refusal;
    const record: JobRecord = { spec, submittedAt: wallClockNow(), cancelledAt: null };
    const largest = jobRecordData({ ...record, cancelledAt: record.submittedAt });
    if (!fitsValueLimit(largest, this.maxValueKb))
      return this.unlessKnown(raw, refused(HTTP_STATUS.badRequest, 'job description too large'));
    return this.create(record);
  }

  private async create(record: JobRecord): Promise<HttpReply> {
    const { id } = record.spec;
    const result = await this.dependencies.store.transact({
      conditions: [
        { key: keys.jobRecord(id), revision: 0 },
        { key: keys.finalRecord(id), revision: 0 },
      ],
      changes: [{ put: keys.jobRecord(id), data: jobRecordData(record) }],
    });
    if (result.kind === 'ok') return jobState(id, 'pending', undefined, HTTP_STATUS.created);
    if (result.kind === 'refused' || result.kind === 'lease-gone' || result.kind === 'invalid')
      return unavailable('state service refuses');
    // Known already, or the answer was lost: what is recorded decides.
    const known = await this.jobs.find(id);
    if (known.kind === 'none' || known.kind === 'undecided') return unavailable('not certain to be recorded');
    return this.describe(id, known);
  }

  /** Null if every job that the job depends on was accepted. */
  private async refuseDependencies({ id, dependsOn }: JobSpec): Promise<HttpReply | null> {
    if (dependsOn.length === 0) return null;
    if (dependsOn.includes(id)) return refused(HTTP_STATUS.unprocessable, 'awaits itself');
    const accepted = await this.jobs.checkAccepted(dependsOn);
    switch (accepted.kind) {
      case 'accepted':
        return null;
      case 'undecided':
        return unavailable('state service does not answer');
      case 'missing':
        return refused(HTTP_STATUS.unprocessable, `awaits ${accepted.job}, which was never accepted`);
    }
  }

  /** An accepted job is never refused when it is submitted again, whatever has changed since. */
  private async unlessKnown(raw: object, refusal: HttpReply): Promise<HttpReply> {
    const id = submittedJobId(raw);
    if (id === null) return refusal;
    const known = await this.jobs.find(id);
    if (known.kind === 'undecided') return unavailable('state service does not answer');
    return known.kind === 'none' ? refusal : this.describe(id, known);
  }

  private async status(id: JobId): Promise<HttpReply> {
    const found = await this.jobs.find(id);
    if (found.kind === 'none') return refused(HTTP_STATUS.notFound, 'no such job');
    if (found.kind === 'undecided') return unavailable('state service does not answer');
    return this.describe(id, found);
  }

  private async describe(id: JobId, found: JobLookupResult): Promise<HttpReply> {
    if (found.kind === 'final')
      return jobState(id, found.record.state, { done: found.record.tasks, running: 0 });
    if (found.kind === 'damaged') return jobState(id, 'pending', NO_COUNTS);
    if (found.kind !== 'active') return unavailable('not certain');
    if (found.record.cancelledAt !== null) return this.describeCancelled(id);
    const cancelled = await this.jobs.dependencyCancelled(found.record.spec.dependsOn);
    if (cancelled === 'undecided') return unavailable('state service does not answer');
    // Recorded before it is told, so that no controller answers anything older afterwards.
    if (cancelled) return this.recordCancelled(id, found);
    const counts = (await this.dependencies.taskCounts(id)) ?? NO_COUNTS;
    const status: UserStatus = counts.running > 0 ? 'running' : 'pending';
    return jobState(id, status, counts);
  }

  private async abort(id: JobId): Promise<HttpReply> {
    const found = await this.jobs.find(id);
    if (found.kind === 'none') return refused(HTTP_STATUS.notFound, 'no such job');
    return this.recordCancelled(id, found);
  }

  /** Done against cancelled is decided here: whoever writes either compares the job's record. */
  private async recordCancelled(id: JobId, first: JobLookupResult): Promise<HttpReply> {
    let found = first;
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      if (found.kind === 'final') return jobState(id, found.record.state);
      if (found.kind !== 'active') return unavailable('not certain');
      if (found.record.cancelledAt !== null) return this.describeCancelled(id);
      const record = this.cancelledRecord(found.record);
      const result = await this.dependencies.store.transact(
        {
          conditions: [{ key: keys.jobRecord(id), revision: found.revision }],
          changes: [{ put: keys.jobRecord(id), data: jobRecordData(record) }],
        },
        budgetReserves.urgent,
      );
      if (result.kind === 'ok') return this.describeCancelled(id);
      if (result.kind === 'refused' || result.kind === 'invalid') return unavailable('state service refuses');
      found = await this.jobs.find(id);
    }
    return unavailable('not certain to be recorded');
  }

  /**
   * Guards against a record from before a limit on values was lowered, which could not be written again: a cancelled
   * job starts nowhere any more, so the list of its types, alone of unbounded length, may go.
   */
  private cancelledRecord(record: JobRecord): JobRecord {
    const cancelled = { ...record, cancelledAt: wallClockNow() };
    if (fitsValueLimit(cancelled, this.maxValueKb)) return cancelled;
    return { ...cancelled, spec: { ...record.spec, types: null } };
  }

  private describeCancelled(id: JobId): HttpReply {
    this.dependencies.onCancellationTold(id);
    return jobState(id, 'cancelled', NO_COUNTS);
  }

  private get maxValueKb(): number {
    return this.dependencies.platform.keyValueStoreLimits.maxValueKb;
  }
}
