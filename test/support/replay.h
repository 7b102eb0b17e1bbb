#ifndef TEST_SUPPORT_REPLAY_H
#define TEST_SUPPORT_REPLAY_H

/**
 * NAME
 *   replay - deterministic simulation of a fleet of routers from a trace
 *
 * DESCRIPTION
 *   Runs one instance of the decision core for each router against a simulated network and a
 *   simulated platform, in virtual time, and compares what callers were charged with what they
 *   used.
 *
 *   A trace is a text with one input a line; '#' begins a comment. Words are separated by one space
 *   or tab. MS at the start of a line is the time of the input in milliseconds:
 *
 *   nodes N                                 routers r0 ... rN-1, alternating between two data
 *                                           centres; at most 16
 *   seed N                                  seed of the random delays and losses; 1 by default
 *   set NAME VALUE                          a policy value, see policy_fields in replay.c
 *   set answers_first 1                     routers answer before they settle, and renew grants, as
 *                                           on the users' platform
 *   account NAME PAID                       creates a client account with PAID tokens
 *   MS request NODE ACCOUNT TOKENS USED RUN_MS [KEY]
 *                                           reserves TOKENS, runs for RUN_MS and settles USED under
 *                                           the idempotency key KEY; not sent while NODE is down,
 *                                           draining or, after its start, not ready yet
 *   MS again NODE ACCOUNT TOKENS USED RUN_MS
 *                                           as request, for a stream that its caller resumes
 *   MS again                                sends so, at the routers in turn, all requests that ran
 *                                           at routers killed since, one each 20 ms
 *   MS topup ACCOUNT TOKENS
 *   MS kill|start|pause|resume|drain NODE   kill leaves the VM on the VM list until `unlist`
 *   MS open NODE                            requests reach a started NODE before it is ready
 *   MS unlist NODE                          removes the VM from the VM list
 *   MS cut NODES                            network partition between NODES ("r0,r1") and the rest
 *   MS island NODES                         as cut, and NODES cannot reach the platform either
 *   MS heal                                 ends all partitions
 *   MS platform up|down                     while down, calls time out
 *   MS platform slow MS                     adds MS to the delay of each reply
 *   MS platform lose PERCENT                share of writes that are applied and get no reply
 *   MS platform restore AGE_MS              the store goes back to what it was AGE_MS ago
 *   run MS                                  end of the inputs. All faults then end, and the routers
 *                                           run on for 60 s, then drain for 60 s
 *   expect NAME =|<=|>= VALUE               an expected outcome, see outcome_fields in replay.c
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Sums over all routers and accounts, except where stated. */
typedef struct
{
  int64_t answered;          /* requests whose settlement succeeded */
  int64_t refused;           /* requests refused before they ran */
  int64_t false_refusals;    /* refused with a budget error, though the account had enough
                                unspent and unreserved tokens */
  int64_t refused_resumes;   /* part of refused: streams that callers resumed */
  int64_t broken;            /* requests whose settlement failed or whose router died */
  int64_t overspend_tokens;  /* largest amount by which one account was charged beyond what it had
                                paid by then */
  int64_t overbilled_tokens; /* settled beyond the use of answered requests; a request whose
                                settlement failed or whose router died during it may be billed */
  int64_t unbilled_tokens;   /* used by answered requests and not settled */
  int64_t lost_tokens;       /* unbilled tokens beyond those still granted in the account's ledger
                                entry, for instance withheld in the row of a dead holder */
  int64_t double_bills;      /* idempotency keys charged more than their largest run */
  int64_t stranded_tokens;   /* still granted in the ledger entries at the end, after all routers
                                drained */
  int64_t platform_writes;   /* writes that reached the platform, rejected ones included */
  int64_t messages;          /* sent between routers, without heartbeats */
} ReplayOutcome;

/* Replays the trace TEXT and fills OUTCOME. Returns whether all its expectations hold; otherwise,
 * also for a trace with a syntax error, REASON is set to a text to be freed with g_free(), and else
 * to NULL. */
bool replay_run (const char *text, ReplayOutcome *outcome, char **reason);

/* Prints a line with NAME and all fields of OUTCOME. */
void replay_print (const char *name, const ReplayOutcome *outcome);

#endif
