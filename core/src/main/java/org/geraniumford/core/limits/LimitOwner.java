package org.geraniumford.core.limits;

import static java.util.Objects.requireNonNull;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.geraniumford.core.configuration.Customer;

/**
 * The accounts of the customers whose limits one entry owns. The owner sums the usage that all entries report, divides
 * each limit among them by demand, and blocks a customer whose account is in debt until the debt is repaid. Its state
 * is not persisted: a new owner starts with full accounts. Not thread-safe.
 */
public final class LimitOwner {
    /** The shortest time between two reports of one entry for one customer, in microseconds. */
    public static final long MIN_REPORT_INTERVAL_MICROS = 100_000;

    /** The longest time between two reports of one entry for one customer with traffic, in microseconds. */
    public static final long MAX_REPORT_INTERVAL_MICROS = 10_000_000;

    /**
     * The bytes per second that an owner spends on reports and shares, unless {@link #MAX_REPORT_INTERVAL_MICROS}
     * requires more.
     */
    public static final long REPORT_BYTES_PER_SECOND = 5_000;

    /** The bytes of a report and its share on the wire, including TCP and IP headers. */
    public static final long EXCHANGE_BYTES = 300;

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long SECONDS_PER_KILOSECOND = 1_000;
    private static final double MIN_SHARE_FILL_RATIO = 0.75;
    private static final double MIN_SHARE_EQUAL_PARTS = 3;
    private static final int EXPIRY_REPORT_INTERVALS = 3;
    private static final long MAX_ACCOUNTS = 100_000;

    private final Map<String, Account> accounts = new HashMap<>();
    private int reporterCount;

    private LimitOwner() {}

    private record Reporter(double requests, double tokens, int streams, long expiresMicros) {}

    private static final class Account {
        private final RateBucket requests;
        private final RateBucket tokens;
        private final Map<String, Reporter> reporters = new HashMap<>();

        Account(Customer customer, long nowMicros) {
            this.requests = new RateBucket(customer.requestsPerSecond(), nowMicros);
            this.tokens = new RateBucket(customer.tokensPerSecond(), nowMicros);
        }
    }

    // -- construction

    /**
     * Creates an owner without accounts.
     *
     * @return a new owner
     */
    public static LimitOwner empty() {
        return new LimitOwner();
    }

    // -- queries

    /**
     * Returns the owner of a customer's limits, chosen by rendezvous hashing.
     *
     * @param customer the customer's name
     * @param entries the names of the entries
     * @return the name of the owner, which is the same in every process with the same entries; empty if there are none
     */
    public static Optional<String> ownerOf(String customer, List<String> entries) {
        return entries.stream()
                .max(Comparator.comparingLong((String entry) -> Hashing.wyhashFinal4()
                                .hashStream()
                                .putString(customer)
                                .putString(entry)
                                .getAsLong())
                        .thenComparing(Comparator.naturalOrder()));
    }

    // -- commands

    /**
     * Records an entry's report.
     *
     * @param customer the customer and its limits
     * @param usage the report
     * @param nowMicros the current time, in microseconds since any fixed origin
     * @return the share of the entry until its next report
     */
    public LimitShare recordUsage(Customer customer, LimitUsage usage, long nowMicros) {
        requireNonNull(customer, "customer is null");
        Account account = account(customer, nowMicros);
        account.requests.refill(customer.requestsPerSecond(), customer.requestsPerSecond(), nowMicros);
        account.tokens.refill(customer.tokensPerSecond(), customer.tokensPerSecond(), nowMicros);
        account.requests.consume((double) usage.requests());
        account.tokens.consume((double) usage.tokens());
        recordReporter(account, usage, nowMicros);
        return share(customer, account, usage.entry());
    }

    private Account account(Customer customer, long nowMicros) {
        if (accounts.size() >= MAX_ACCOUNTS) {
            expire(nowMicros);
        }
        return accounts.computeIfAbsent(customer.name(), name -> new Account(customer, nowMicros));
    }

    private void recordReporter(Account account, LimitUsage usage, long nowMicros) {
        long expiresMicros = nowMicros + EXPIRY_REPORT_INTERVALS * reportAfterMicros() + MICROS_PER_SECOND;
        reporterCount -= account.reporters.size();
        account.reporters.values().removeIf(reporter -> reporter.expiresMicros() <= nowMicros);
        double seconds = (double) usage.periodMicros() / MICROS_PER_SECOND;
        account.reporters.put(
                usage.entry(),
                new Reporter(
                        usage.receivedRequests() / seconds,
                        usage.receivedTokens() / seconds,
                        usage.streams(),
                        expiresMicros));
        reporterCount += account.reporters.size();
    }

    private void expire(long nowMicros) {
        accounts.values()
                .removeIf(account -> account.reporters.values().stream()
                        .allMatch(reporter -> reporter.expiresMicros() <= nowMicros));
        reporterCount = accounts.values().stream()
                .mapToInt(account -> account.reporters.size())
                .sum();
    }

    // -- shares

    private LimitShare share(Customer customer, Account account, String entry) {
        double requests = Math.max(
                share(customer.requestsPerSecond(), account, entry, Reporter::requests),
                minShare(customer.requestsPerSecond(), account.requests, account.reporters.size()));
        double tokens = Math.max(
                share(customer.tokensPerSecond(), account, entry, Reporter::tokens),
                minShare(customer.tokensPerSecond(), account.tokens, account.reporters.size()));
        int others = account.reporters.entrySet().stream()
                .filter(other -> !other.getKey().equals(entry))
                .mapToInt(other -> other.getValue().streams())
                .sum();
        return new LimitShare(
                customer.name(),
                (long) (requests * SECONDS_PER_KILOSECOND),
                (long) tokens,
                Math.max(0, customer.maxStreams() - others),
                blockedMicros(customer, account),
                reportAfterMicros());
    }

    /**
     * Returns an entry's share of a limit: what the others leave if the total demand is within the limit, else a part
     * proportional to its demand.
     */
    private static double share(double limit, Account account, String entry, ToDoubleFunction<Reporter> demand) {
        double own = demand.applyAsDouble(account.reporters.get(entry));
        double total = account.reporters.values().stream().mapToDouble(demand).sum();
        return total <= limit ? limit - (total - own) : limit * own / total;
    }

    /** Returns the least share while the account is well filled: a few equal parts, independent of earlier demand. */
    private static double minShare(double limit, RateBucket bucket, int reporters) {
        return bucket.hasBalance(limit * MIN_SHARE_FILL_RATIO)
                ? Math.min(limit, limit * MIN_SHARE_EQUAL_PARTS / reporters)
                : 0;
    }

    private static long blockedMicros(Customer customer, Account account) {
        long requests =
                customer.requestsPerSecond() == 0 ? 0 : account.requests.microsUntil(0, customer.requestsPerSecond());
        long tokens = customer.tokensPerSecond() == 0 ? 0 : account.tokens.microsUntil(0, customer.tokensPerSecond());
        return Math.max(requests, tokens);
    }

    private long reportAfterMicros() {
        long intervalMicros = reporterCount * EXCHANGE_BYTES * MICROS_PER_SECOND / REPORT_BYTES_PER_SECOND;
        return Math.min(MAX_REPORT_INTERVAL_MICROS, Math.max(MIN_REPORT_INTERVAL_MICROS, intervalMicros));
    }
}
