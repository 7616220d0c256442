package org.geraniumford.core.limits;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.geraniumford.core.service.ApiCustomer;

/**
 * One seeded history of several entries that share the limit of a customer, without a network: the load and its parts
 * at the entries change, messages are delayed and lost, entries are cut off from each other, and restart.
 */
final class QuotaHistory {
    static final QuotaTolerance TOLERANCE = new QuotaTolerance(java.time.Duration.ofSeconds(8), 0.1, 110_000);

    private static final long STEP = 20_000_000;
    private static final long SECOND = 1_000_000_000;
    private static final int STEPS = 600;

    /** What happens to the entries. */
    enum Faults {
        NONE,
        PARTITION,
        RESTART_OF_ONE,
        RESTART_OF_ALL
    }

    /** How much the customer asks for. */
    enum Demand {
        /** More than the limit all the time, up to 7 times as much. */
        ABOVE_LIMIT,
        /** Nothing at times, and up to 7 times the limit at others. */
        BURSTS,
        /** As much as the limit allows at each time, and not more. */
        WITHIN_LIMIT
    }

    private record Sent(int from, long incarnation, long atNanos, List<CustomerUse> uses) {}

    private record Started(int entry, long incarnation, long endsNanos, long cost) {}

    private final SplittableRandom random;
    private final Faults faults;
    private final Demand demand;
    private final CustomerQuota quota;
    private final int entries;
    private final CustomerAccounts[] accounts;
    private final long[] incarnations;
    private final long[] upFromNanos;
    private final long[] sentNanos;
    private final boolean[][] informed;
    private final List<List<Sent>> inbox = new ArrayList<>();
    private final List<Started> toRefund = new ArrayList<>();
    private final int[] side;
    private final double lossRatio;
    private final long faultNanos;
    private final long faultEndNanos;
    private final RateBucket allowed;
    private final long[] usedInStep = new long[STEPS];
    private long refusals;
    private double[] weights;
    private double factor;

    private QuotaHistory(long seed, Faults faults, Demand demand) {
        this.random = new SplittableRandom(seed);
        this.faults = faults;
        this.demand = demand;
        double rate = random.nextBoolean() ? 263_588 : random.nextDouble(29_000, 263_588);
        this.quota = new CustomerQuota(rate, rate, CustomerQuota.Unit.TOKENS, 200);
        this.entries = random.nextInt(2, 6);
        this.accounts = new CustomerAccounts[entries];
        this.incarnations = new long[entries];
        this.upFromNanos = new long[entries];
        this.sentNanos = new long[entries];
        this.informed = new boolean[entries][entries];
        this.side = new int[entries];
        this.lossRatio = random.nextDouble(0, 0.1);
        this.faultNanos = random.nextLong(3 * SECOND, 7 * SECOND);
        this.faultEndNanos = faultNanos + random.nextLong(SECOND / 2, 4 * SECOND);
        this.allowed = new RateBucket(0, 0);
        for (int i = 0; i < entries; i++) {
            side[i] = random.nextInt(2);
            inbox.add(new ArrayList<>());
            start(i, 0);
        }
    }

    /** Runs a history. */
    static QuotaHistory run(long seed, Faults faults, Demand demand) {
        QuotaHistory history = new QuotaHistory(seed, faults, demand);
        for (int step = 0; step < STEPS; step++) {
            history.step(step);
        }
        return history;
    }

    // -- queries

    /** Returns by how much the most loaded window exceeds the bound of the plain rule; negative if it does not. */
    double worstExcess() {
        int window = (int) (TOLERANCE.window().toNanos() / STEP);
        double bound = TOLERANCE.allowance(quota) + TOLERANCE.units(quota);
        long inWindow = 0;
        double worst = Double.NEGATIVE_INFINITY;
        for (int step = 0; step < STEPS; step++) {
            inWindow += usedInStep[step] - (step >= window ? usedInStep[step - window] : 0);
            worst = Math.max(worst, inWindow - bound);
        }
        return worst / bound;
    }

    /** Returns which part of what the rate allowed was used. */
    double usedRatio() {
        return Arrays.stream(usedInStep).sum() / (quota.rate() * STEPS * STEP / SECOND);
    }

    long refusals() {
        return refusals;
    }

    @Override
    public String toString() {
        return faults + " " + demand + " rate " + Math.round(quota.rate()) + ", " + entries + " entries, loss "
                + lossRatio + ", fault from " + faultNanos / 1_000_000 + " to " + faultEndNanos / 1_000_000 + " ms";
    }

    // -- events

    private void start(int entry, long nowNanos) {
        RandomGenerator own = random.split();
        accounts[entry] = CustomerAccounts.empty(TOLERANCE, own, nowNanos);
        accounts[entry].applyConfiguration(
                List.of(new ApiCustomer("c", List.of(), OptionalInt.empty(), false, Optional.of(quota))), nowNanos);
        accounts[entry].updateEntries(OptionalInt.of(entries), nowNanos);
        incarnations[entry]++;
        for (int peer = 0; peer < entries; peer++) {
            informed[entry][peer] = false;
            informed[peer][entry] = false;
        }
    }

    private void step(int step) {
        long nowNanos = step * STEP;
        if (step % 75 == 0) {
            changeLoad();
        }
        applyFaults(nowNanos);
        for (int entry = 0; entry < entries; entry++) {
            if (upFromNanos[entry] <= nowNanos) {
                receive(entry, nowNanos);
            }
        }
        refund(step, nowNanos);
        request(step, nowNanos);
        for (int entry = 0; entry < entries; entry++) {
            if (upFromNanos[entry] <= nowNanos) {
                announce(entry, nowNanos);
            }
        }
    }

    private void changeLoad() {
        weights =
                random.doubles(entries).map(weight -> weight * weight * weight).toArray();
        if (random.nextInt(4) == 0) {
            Arrays.fill(weights, 0);
            weights[random.nextInt(entries)] = 1;
        }
        double above = random.nextDouble(1.1, 7);
        factor = demand == Demand.BURSTS && random.nextBoolean() ? random.nextDouble(0, 0.3) : above;
    }

    private void applyFaults(long nowNanos) {
        boolean begins = nowNanos >= faultNanos && nowNanos < faultNanos + STEP;
        if (begins && faults == Faults.RESTART_OF_ONE) {
            restart(0, nowNanos);
        } else if (begins && faults == Faults.RESTART_OF_ALL) {
            for (int entry = 0; entry < entries; entry++) {
                restart(entry, nowNanos);
            }
        }
    }

    private void restart(int entry, long nowNanos) {
        upFromNanos[entry] = nowNanos + random.nextLong(SECOND / 5, 2 * SECOND);
        start(entry, upFromNanos[entry]);
        inbox.get(entry).clear();
    }

    private void receive(int entry, long nowNanos) {
        List<Sent> messages = inbox.get(entry);
        for (int i = 0; i < messages.size(); i++) {
            Sent sent = messages.get(i);
            if (sent.atNanos() <= nowNanos) {
                accounts[entry].applyGossip("p" + sent.from(), sent.incarnation(), sent.uses(), nowNanos);
            }
        }
        messages.removeIf(sent -> sent.atNanos() <= nowNanos);
    }

    private void refund(int step, long nowNanos) {
        toRefund.removeIf(started -> {
            if (started.endsNanos() > nowNanos) {
                return false;
            }
            usedInStep[step - 3] -= started.cost();
            if (incarnations[started.entry()] == started.incarnation() && upFromNanos[started.entry()] <= nowNanos) {
                accounts[started.entry()].refund("c", started.cost(), nowNanos);
            }
            return true;
        });
    }

    private void request(int step, long nowNanos) {
        double asked = quota.rate() * factor * STEP / SECOND;
        allowed.refill(quota.rate(), quota.burst(), nowNanos / 1000);
        // A request of the mean size of 3,600 tokens arrives this many times a step.
        for (double left = asked / 3600; left > 0; left--) {
            if (left < 1 && random.nextDouble() >= left) {
                return;
            }
            long cost = cost();
            if (demand == Demand.WITHIN_LIMIT && (nowNanos < 4 * SECOND || !allowed.hasBalance((double) cost))) {
                continue;
            }
            int entry = pick();
            if (upFromNanos[entry] <= nowNanos) {
                allowed.consume((double) cost);
                request(entry, cost, step, nowNanos);
            }
        }
    }

    private void request(int entry, long cost, int step, long nowNanos) {
        if (accounts[entry].admit("c", cost, 0, nowNanos).isZero()) {
            accounts[entry].use("c", cost, nowNanos);
            usedInStep[step] += cost;
            if (random.nextInt(20) == 0 && step + 3 < STEPS) {
                toRefund.add(new Started(entry, incarnations[entry], nowNanos + 3 * STEP, cost));
            }
        } else {
            refusals++;
        }
    }

    private long cost() {
        int kind = random.nextInt(100);
        if (kind < 70) {
            return random.nextLong(300, 1500);
        }
        return kind < 98 ? random.nextLong(3000, 15_400) : random.nextLong(15_400, 39_600);
    }

    private int pick() {
        double draw = random.nextDouble() * Arrays.stream(weights).sum();
        for (int i = 0; i < entries; i++) {
            draw -= weights[i];
            if (draw < 0) {
                return i;
            }
        }
        return entries - 1;
    }

    private void announce(int entry, long nowNanos) {
        long heartbeatNanos = accounts[entry].isInUse(nowNanos) ? 450_000_000 : 600_000_000;
        boolean due = nowNanos - sentNanos[entry] >= heartbeatNanos || accounts[entry].hasChanges();
        if (!due) {
            return;
        }
        sentNanos[entry] = nowNanos;
        List<CustomerUse> changes = accounts[entry].announce(CustomerAccounts.Extent.CHANGES, nowNanos);
        for (int peer = 0; peer < entries; peer++) {
            if (peer != entry && upFromNanos[peer] <= nowNanos) {
                boolean cut = faults == Faults.PARTITION
                        && side[peer] != side[entry]
                        && nowNanos >= faultNanos
                        && nowNanos < faultEndNanos;
                if (cut || random.nextDouble() < lossRatio) {
                    informed[entry][peer] = false;
                    continue;
                }
                List<CustomerUse> uses = informed[entry][peer]
                        ? changes
                        : accounts[entry].announce(CustomerAccounts.Extent.ALL, nowNanos);
                informed[entry][peer] = true;
                long atNanos = nowNanos + random.nextLong(STEP / 2, 2 * STEP);
                inbox.get(peer).add(new Sent(entry, incarnations[entry], atNanos, uses));
            }
        }
        accounts[entry].markAnnounced();
    }
}
