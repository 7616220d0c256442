package org.geraniumford.core.limits;

/** A token bucket that may go into debt. Not thread-safe. */
final class RateBucket {
    private static final double MICROS_PER_SECOND = 1_000_000;

    private double balance;
    private long refilledMicros;

    RateBucket(double balance, long nowMicros) {
        this.balance = balance;
        this.refilledMicros = nowMicros;
    }

    // -- commands

    /** Adds what a rate gave since the last call, up to a capacity. */
    void refill(double perSecond, double capacity, long nowMicros) {
        double earned = perSecond * Math.max(0, nowMicros - refilledMicros) / MICROS_PER_SECOND;
        balance = Math.min(capacity, balance + earned);
        refilledMicros = Math.max(refilledMicros, nowMicros);
    }

    void consume(double amount) {
        balance -= amount;
    }

    // -- queries

    boolean hasBalance(double amount) {
        return balance >= amount;
    }

    /** Returns the time until an amount is there, in microseconds. */
    long microsUntil(double amount, double perSecond) {
        return balance >= amount ? 0 : (long) Math.ceil((amount - balance) / perSecond * MICROS_PER_SECOND);
    }
}
