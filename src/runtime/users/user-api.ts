/**
 * The user API, served by every controller. The job's record in the key-value store is authoritative: a response never
 * reports a state that the record does not contain.
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
import { jobStatusReply, errorReply, unavailableReply } from './user-replies.js';
import { HTTP_STATUS } from '../http/http-status.js';

const JOBS_PATH = '/v1/jobs';
const JOB_PATH = /^\/v1\/jobs\/([^/]+)(\/abort)?$/;
/** Limits the retries of a transaction that conflicts with other writes to the same record. */
const MAX_WRITE_ATTEMPTS = 3;
const NO_COUNTS: StatusCounts = { done: 0, running: 0 };

/** Dependencies of the user API. */
export interface UserApiDependencies {
  platform: PlatformSettings;
  store: KeyValueStoreClient;
  machineTypes: () => MachineType[];
  /** The numbers of a job's tasks by state; null if no leader reports them. */
  taskCounts: (id: JobId) => Promise<StatusCounts | null>;
  /** Called just before a response reports this job as cancelled; its tasks may still be running. */
  onCancellationReported: (id: JobId) => void;
  knownJobs: KnownJobs;
}

/** Handles submissions, status requests and cancellations. */
export class UserApi {
  private readonly jobs: JobLookup;
  private readonly teams: Map<Team, TeamQuota>;

  constructor(private readonly dependencies: UserApiDependencies) {
    this.jobs = new JobLookup(dependencies.store, dependencies.knownJobs);
    this.teams = new Map(dependencies.platform.teams.map((team) => [team.name, team]));
  }

  /** Handles one request. The response is 503 if the state of the job cannot be determined. */
  async handle(request: HttpMessage): Promise<HttpReply> {
    const path = request.target.split('?', 1)[0];
    if (path === JOBS_PATH) {
      return request.method === 'POST'
        ? this.submit(request.body)
        : errorReply(HTTP_STATUS.methodNotAllowed, 'use POST');
    }
    const match = JOB_PATH.exec(path);
    if (!match) return errorReply(HTTP_STATUS.notFound, 'no such path');
    const id = match[1];
    const abort = match[2] !== undefined;
    if (request.method !== (abort ? 'POST' : 'GET'))
      return errorReply(HTTP_STATUS.methodNotAllowed, abort ? 'use POST' : 'use GET');
    if (!isJobId(id)) return errorReply(HTTP_STATUS.notFound, 'no such job');
    return abort ? this.cancel(id) : this.status(id);
  }

  private async submit(body: Buffer): Promise<HttpReply> {
    const raw = tryDecode(body);
    if (typeof raw !== 'object' || raw === null || Array.isArray(raw))
      return errorReply(HTTP_STATUS.badRequest, 'expected a CBOR map');
    const parsed = parseJob(raw);
    if (!parsed.ok) return this.rejectUnlessAccepted(raw, errorReply(HTTP_STATUS.badRequest, parsed.cause));
    const spec = parsed.value;
    const check = checkSubmission(spec, this.teams.get(spec.team), this.dependencies.machineTypes());
    if (check.kind === 'unknown') return unavailableReply('machine types not known yet');
    if (check.kind === 'never-runnable')
      return this.rejectUnlessAccepted(raw, errorReply(HTTP_STATUS.unprocessable, check.cause));
    const final = this.jobs.cachedFinalRecord(spec.id);
    if (final) return jobStatusReply(spec.id, final.state);
    const rejection = await this.rejectDependencies(spec);
    if (rejection)
      return rejection.status === HTTP_STATUS.unprocessable
        ? this.rejectUnlessAccepted(raw, rejection)
        : rejection;
    const record: JobRecord = { spec, submittedAt: wallClockNow(), cancelledAt: null };
    const largest = jobRecordData({ ...record, cancelledAt: record.submittedAt });
    if (!fitsValueLimit(largest, this.maxValueKb))
      return this.rejectUnlessAccepted(raw, errorReply(HTTP_STATUS.badRequest, 'job description too large'));
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
    if (result.kind === 'ok') return jobStatusReply(id, 'pending', undefined, HTTP_STATUS.created);
    if (result.kind === 'refused' || result.kind === 'lease-gone' || result.kind === 'invalid')
      return unavailableReply('state service refuses');
    // The job exists already, or the store's response was lost: the stored record determines the response.
    const existing = await this.jobs.find(id);
    if (existing.kind === 'not-found' || existing.kind === 'unknown')
      return unavailableReply('not certain to be recorded');
    return this.statusReply(id, existing);
  }

  /** Returns the error response, or null if all dependencies of the job were accepted. */
  private async rejectDependencies({ id, dependsOn }: JobSpec): Promise<HttpReply | null> {
    if (dependsOn.length === 0) return null;
    if (dependsOn.includes(id)) return errorReply(HTTP_STATUS.unprocessable, 'awaits itself');
    const accepted = await this.jobs.checkAccepted(dependsOn);
    switch (accepted.kind) {
      case 'accepted':
        return null;
      case 'unknown':
        return unavailableReply('state service does not answer');
      case 'missing':
        return errorReply(HTTP_STATUS.unprocessable, `awaits ${accepted.job}, which was never accepted`);
    }
  }

  /**
   * Returns the rejection, unless the job was accepted before: a repeated submission of an accepted job reports its
   * status, even if it would be rejected now.
   */
  private async rejectUnlessAccepted(raw: object, rejection: HttpReply): Promise<HttpReply> {
    const id = submittedJobId(raw);
    if (id === null) return rejection;
    const existing = await this.jobs.find(id);
    if (existing.kind === 'unknown') return unavailableReply('state service does not answer');
    return existing.kind === 'not-found' ? rejection : this.statusReply(id, existing);
  }

  private async status(id: JobId): Promise<HttpReply> {
    const found = await this.jobs.find(id);
    if (found.kind === 'not-found') return errorReply(HTTP_STATUS.notFound, 'no such job');
    if (found.kind === 'unknown') return unavailableReply('state service does not answer');
    return this.statusReply(id, found);
  }

  private async statusReply(id: JobId, found: JobLookupResult): Promise<HttpReply> {
    if (found.kind === 'final')
      return jobStatusReply(id, found.record.state, { done: found.record.tasks, running: 0 });
    if (found.kind === 'malformed') return jobStatusReply(id, 'pending', NO_COUNTS);
    if (found.kind !== 'active') return unavailableReply('not certain');
    if (found.record.cancelledAt !== null) return this.reportCancelled(id);
    const cancelled = await this.jobs.dependencyCancelled(found.record.spec.dependsOn);
    if (cancelled === 'unknown') return unavailableReply('state service does not answer');
    // The cancellation is recorded before it is reported, so that no controller reports an older state afterwards.
    if (cancelled) return this.recordCancelled(id, found);
    const counts = (await this.dependencies.taskCounts(id)) ?? NO_COUNTS;
    const status: UserStatus = counts.running > 0 ? 'running' : 'pending';
    return jobStatusReply(id, status, counts);
  }

  private async cancel(id: JobId): Promise<HttpReply> {
    const found = await this.jobs.find(id);
    if (found.kind === 'not-found') return errorReply(HTTP_STATUS.notFound, 'no such job');
    return this.recordCancelled(id, found);
  }

  /**
   * Records the cancellation, unless the job is finished. Completion and cancellation exclude each other, because both
   * are written on the condition that the job's active record is unchanged.
   */
  private async recordCancelled(id: JobId, first: JobLookupResult): Promise<HttpReply> {
    let found = first;
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      if (found.kind === 'final') return jobStatusReply(id, found.record.state);
      if (found.kind !== 'active') return unavailableReply('not certain');
      if (found.record.cancelledAt !== null) return this.reportCancelled(id);
      const record = this.cancelledRecord(found.record);
      const result = await this.dependencies.store.transact(
        {
          conditions: [{ key: keys.jobRecord(id), revision: found.revision }],
          changes: [{ put: keys.jobRecord(id), data: jobRecordData(record) }],
        },
        budgetReserves.urgent,
      );
      if (result.kind === 'ok') return this.reportCancelled(id);
      if (result.kind === 'refused' || result.kind === 'invalid')
        return unavailableReply('state service refuses');
      found = await this.jobs.find(id);
    }
    return unavailableReply('not certain to be recorded');
  }

  /**
   * The record with its cancellation time. A record written before the limit on value sizes was lowered may no longer
   * fit. Its list of machine types is then dropped: only that list can be long, and a cancelled job no longer needs it.
   */
  private cancelledRecord(record: JobRecord): JobRecord {
    const cancelled = { ...record, cancelledAt: wallClockNow() };
    if (fitsValueLimit(cancelled, this.maxValueKb)) return cancelled;
    return { ...cancelled, spec: { ...record.spec, types: null } };
  }

  private reportCancelled(id: JobId): HttpReply {
    this.dependencies.onCancellationReported(id);
    return jobStatusReply(id, 'cancelled', NO_COUNTS);
  }

  private get maxValueKb(): number {
    return this.dependencies.platform.keyValueStoreLimits.maxValueKb;
  }
}
