/** The times that the protocol with the workers is built on; the settings' values. */

/** The times that the protocol with the workers is built on. */
export interface WorkerTimings {
  heartbeatIntervalS: number;
  /** A worker ends its tasks when its last answered heartbeat was sent longer ago than this. */
  leaseS: number;
  /** For so long a gang's members wait for one another. */
  gangWaitS: number;
  /** Within this time the members of a gang notice that one is gone, and within this time all of them must be stopped. */
  gangPeerS: number;
  /** Within this time of a confirmed cancellation every task of the job must be gone. */
  cancelS: number;
}
