import java.nio.file.Path;

/** Runs one case: creates its deployment, and ends every process of it whatever happens. */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** What a case does with its deployment. */
    interface Body {
        /** Returns {@link #HELD}, {@link #BROKEN} or {@link #NOT_RUN}. */
        int run(Deployment deployment, Log log, boolean trouble) throws Exception;
    }

    private Case() {}

    /**
     * Runs a case and ends this process with its result.
     *
     * @param arguments the root of the repository and the folder of the case
     * @param body the case
     */
    static void run(String[] arguments, Body body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = NOT_RUN;
        try (Log log = new Log(Path.of(arguments[1]).resolve("record.txt"))) {
            try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
                Runtime.getRuntime().addShutdownHook(new Thread(deployment::endProcesses));
                log.line("trouble: %s", trouble);
                result = body.run(deployment, log, trouble);
            } catch (Exception e) {
                log.line("the case could not run: %s", e);
            }
            log.line("result: %d", result);
        } catch (Exception e) {
            System.out.println("no record: " + e);
        }
        System.exit(result);
    }
}
