package org.gentianwalk.core.config.schema;

import static org.gentianwalk.core.config.schema.ValueTypes.BIT_RATE;
import static org.gentianwalk.core.config.schema.ValueTypes.DECIMAL;
import static org.gentianwalk.core.config.schema.ValueTypes.DURATION;
import static org.gentianwalk.core.config.schema.ValueTypes.ENDPOINT;
import static org.gentianwalk.core.config.schema.ValueTypes.FLAG;
import static org.gentianwalk.core.config.schema.ValueTypes.NAME;
import static org.gentianwalk.core.config.schema.ValueTypes.PATH;
import static org.gentianwalk.core.config.schema.ValueTypes.PERCENT;
import static org.gentianwalk.core.config.schema.ValueTypes.SHA256;
import static org.gentianwalk.core.config.schema.ValueTypes.SIZE;
import static org.gentianwalk.core.config.schema.ValueTypes.TOKENS;
import static org.gentianwalk.core.config.schema.ValueTypes.TOKEN_RATE;
import static org.gentianwalk.core.config.schema.ValueTypes.WHOLE;

/** The keys of the settings folder. */
public final class FolderSchema {
    /** The merged content of the folder. */
    public static final Spec.Section ROOT =
            new SectionBuilder()
                    .add("zones", new Spec.SectionMap(zone()), true, "Availability zones.")
                    .add(
                            "models",
                            new Spec.SectionMap(model()),
                            true,
                            "Models that callers may request.")
                    .add(
                            "engine-types",
                            new Spec.SectionMap(engineType()),
                            false,
                            "Settings shared by several engines.")
                    .add("engines", new Spec.SectionMap(engine()), true, "Model engines.")
                    .add("services", new Spec.SectionMap(service()), false, "Plain services.")
                    .add("kinds", new Spec.SectionMap(kind()), true, "Kinds of work.")
                    .add(
                            "branches",
                            new Spec.SectionMap(branch()),
                            false,
                            "Exceptions for branches.")
                    .add("teams", new Spec.SectionMap(team()), true, "Teams.")
                    .add("limits", limits(), false, "Limits that apply to callers' requests.")
                    .add(
                            "policy",
                            policy(),
                            false,
                            "Policy for overload, retries and suspected engines.")
                    .add("replication", replication(), false, "Replication of running generations.")
                    .build();

    private static final String MAX_DEADLINE = "1d";

    private FolderSchema() {}

    private static Spec.Section zone() {
        return new SectionBuilder()
                .required("region", NAME, "Region to which the zone belongs.")
                .build();
    }

    private static Spec.Section model() {
        return new SectionBuilder()
                .withDefault(
                        "context",
                        TOKENS,
                        "256tokens",
                        "4000ktokens",
                        "32768tokens",
                        "Maximum length of prompt and output together.")
                .build();
    }

    private static SectionBuilder engineKeys() {
        return new SectionBuilder()
                .add("models", new Spec.ValueList(NAME), false, "Models that the engine serves.")
                .optional("slots", WHOLE, "1", "4096", "Maximum number of generations in a batch.")
                .optional(
                        "output-rate",
                        TOKEN_RATE,
                        "1tokens/s",
                        "1000ktokens/s",
                        "Output rate of a full batch.")
                .optional(
                        "prefill-rate",
                        TOKEN_RATE,
                        "1tokens/s",
                        "10000ktokens/s",
                        "Prompt processing rate.")
                .add(
                        "capabilities",
                        new Spec.ValueList(
                                ValueTypes.choice(
                                        "resume",
                                        "cancel",
                                        "priority",
                                        "fencing",
                                        "cache_events",
                                        "token_ids")),
                        false,
                        "Optional capabilities of the engine.");
    }

    private static Spec.Section engineType() {
        return engineKeys().build();
    }

    private static Spec.Section engine() {
        return engineKeys()
                .optional(
                        "type",
                        NAME,
                        "Engine type whose settings apply to keys that are not set here.")
                .required("address", ENDPOINT, "IP address and port.")
                .required("zone", NAME, "Availability zone.")
                .build();
    }

    private static Spec.Section service() {
        Spec.Section upstream =
                new SectionBuilder()
                        .required("address", ENDPOINT, "IP address and port.")
                        .required("zone", NAME, "Availability zone.")
                        .withDefault(
                                "connections",
                                WHOLE,
                                "1",
                                "4096",
                                "32",
                                "Maximum number of concurrent calls.")
                        .build();
        Spec.Section operation =
                new SectionBuilder()
                        .required(
                                "method",
                                ValueTypes.choice("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"),
                                "HTTP method.")
                        .required("path", PATH, "Prefix of the path within the service.")
                        .required(
                                "repeatable",
                                FLAG,
                                "Whether executing the operation twice does no harm.")
                        .required("timeout", DURATION, "10ms", "60s", "Timeout of one attempt.")
                        .build();
        return new SectionBuilder()
                .add(
                        "upstreams",
                        new Spec.SectionMap(upstream),
                        true,
                        "Upstreams that provide the service.")
                .add(
                        "operations",
                        new Spec.SectionList(operation),
                        true,
                        "Operations that callers may call; the first match applies.")
                .optional(
                        "lookup-path", PATH, "Path that returns the outcome of a call by its key.")
                .build();
    }

    private static SectionBuilder ruleKeys() {
        return new SectionBuilder()
                .optional("weight", DECIMAL, "0.01", "1000", "Weight relative to other teams.")
                .optional(
                        "max-tokens",
                        TOKENS,
                        "1tokens",
                        "1000ktokens",
                        "Maximum length of the output.")
                .optional(
                        "deadline",
                        DURATION,
                        "100ms",
                        MAX_DEADLINE,
                        "Default deadline of a request.")
                .optional(
                        "tokens-per-second",
                        TOKEN_RATE,
                        "1tokens/s",
                        "10000ktokens/s",
                        "Limit of each team's token rate.")
                .add("models", new Spec.ValueList(NAME), false, "Models that may be used.");
    }

    private static Spec.Section kind() {
        return ruleKeys()
                .required("rank", ValueTypes.choice("urgent", "standard"), "Service class.")
                .build();
    }

    private static Spec.Section branch() {
        return ruleKeys().add("exceptions", exceptions(), false, "Rules by kind of work.").build();
    }

    private static Spec.Section team() {
        return ruleKeys()
                .required("branch", NAME, "Branch to which the team belongs.")
                .add("keys", new Spec.ValueList(SHA256), true, "Hashes of the team's API keys.")
                .add(
                        "kinds",
                        new Spec.ValueList(NAME),
                        true,
                        "Kinds of work that the team may use.")
                .required("default-kind", NAME, "Kind of work of requests that name none.")
                .withDefault(
                        "max-rank",
                        ValueTypes.choice("urgent", "standard"),
                        null,
                        null,
                        "urgent",
                        "Highest rank of the team's work.")
                .add("exceptions", exceptions(), false, "Rules by kind of work.")
                .build();
    }

    private static Spec exceptions() {
        return new Spec.SectionMap(ruleKeys().build());
    }

    private static Spec.Section limits() {
        return new SectionBuilder()
                .withDefault(
                        "max-body",
                        SIZE,
                        "1KiB",
                        "64MiB",
                        "4MiB",
                        "Maximum size of a request body.")
                .withDefault(
                        "body-timeout",
                        DURATION,
                        "1s",
                        "5m",
                        "10s",
                        "Maximum time to receive a request body.")
                .withDefault(
                        "queue-timeout",
                        DURATION,
                        "100ms",
                        "10m",
                        "2s",
                        "Maximum time in the queue, after which a request is refused.")
                .withDefault(
                        "reconnect-grace",
                        DURATION,
                        "0s",
                        "10m",
                        "30s",
                        "How long a generation with a caller's key continues without a"
                                + " connection.")
                .withDefault(
                        "write-timeout",
                        DURATION,
                        "1s",
                        "5m",
                        "10s",
                        "Maximum time without write progress when a caller does not read.")
                .build();
    }

    private static Spec.Section policy() {
        return new SectionBuilder()
                .withDefault(
                        "standard-share",
                        PERCENT,
                        "0%",
                        "90%",
                        "10%",
                        "Share of the capacity reserved for standard work under urgent load.")
                .withDefault(
                        "retry-budget",
                        PERCENT,
                        "0%",
                        "50%",
                        "10%",
                        "Limit of extra attempts as a share of traffic, per team and in total.")
                .withDefault(
                        "queue-bound",
                        TOKENS,
                        "1ktokens",
                        "1000000ktokens",
                        "200ktokens",
                        "Maximum work queued per model at one instance; more is refused.")
                .withDefault(
                        "max-attempts",
                        WHOLE,
                        "1",
                        "20",
                        "4",
                        "Maximum number of engines tried for one generation.")
                .withDefault(
                        "stall-timeout",
                        DURATION,
                        "100ms",
                        "10s",
                        "2s",
                        "Maximum time between two tokens before an engine is suspected.")
                .withDefault(
                        "max-ejected",
                        PERCENT,
                        "0%",
                        "50%",
                        "33%",
                        "Maximum share of a pool that may be ejected as suspected at once.")
                .withDefault(
                        "region-link",
                        BIT_RATE,
                        "0bit/s",
                        "100Gbit/s",
                        "20Mbit/s",
                        "Bandwidth budget for traffic to each other region, in each direction.")
                .build();
    }

    private static Spec.Section replication() {
        return new SectionBuilder()
                .withDefault(
                        "copies",
                        WHOLE,
                        "0",
                        "3",
                        "1",
                        "Number of copies in addition to the owner's.")
                .withDefault(
                        "cross-region",
                        FLAG,
                        null,
                        null,
                        "false",
                        "Whether a copy may be placed in another region.")
                .withDefault(
                        "memory",
                        SIZE,
                        "1MiB",
                        "4GiB",
                        "64MiB",
                        "Maximum memory for records held for other instances.")
                .withDefault(
                        "retention",
                        DURATION,
                        "1s",
                        "10m",
                        "60s",
                        "How long a finished generation can still be read.")
                .withDefault(
                        "ack-timeout",
                        DURATION,
                        "20ms",
                        "5s",
                        "300ms",
                        "Timeout of a copy's acknowledgement; then another holder is chosen.")
                .withDefault(
                        "when-alone",
                        ValueTypes.choice("release", "refuse"),
                        null,
                        null,
                        "release",
                        "Whether to release tokens while no other instance is alive.")
                .build();
    }
}
