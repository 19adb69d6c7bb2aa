/** Timeouts and intervals of connections between nodes, in milliseconds. */
export const channelTimes = {
  /** Timeout for connecting and receiving the other node's hello; two round trips between regions take 120 ms. */
  connectTimeout: 500,
  /** Interval at which connections with pending requests are checked for received bytes. */
  checkInterval: 250,
  /** Time without received bytes after which a ping is sent. */
  pingDelay: 400,
  /** Time without received bytes after which a connection is closed. A lost packet is retransmitted within 600 ms. */
  receiveTimeout: 1_200,
  /** Delay before the next attempt to reconnect and resume calls that must not run twice. */
  resumeDelay: 300,
  /** Time for which calls continue after their connection was lost. The other node can still resume them later. */
  orphanTimeout: 2_000,
  /** Time after which a session without a connection is forgotten, with its answers. */
  sessionRetention: 10_000,
  /** Time for which an answer is retained after it was sent. */
  answerRetention: 5_000,
  /** Timeout of a directory exchange. */
  exchangeTimeout: 900,
  /** Timeout of a token request; a round trip between regions takes 60 ms. */
  tokenTimeout: 250,
} as const;
