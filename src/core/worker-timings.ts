/** Times in the worker protocol, as set in the platform settings. */

/** Times in the worker protocol. */
export interface WorkerTimings {
  heartbeatIntervalS: number;
  /** A worker ends its tasks if the last heartbeat that got a reply was sent longer ago than this. */
  leaseS: number;
  /** How long the members of a gang wait for one another. */
  gangWaitS: number;
  /** Members of a gang detect within this time that another one is gone, and must all have stopped within it. */
  gangPeerS: number;
  /** All tasks of a job must be gone within this time of its confirmed cancellation. */
  cancelS: number;
}
